#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "masticpin/admission/priority.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_subscriber.h"
#include "masticpin/execution/running_request.h"
#include "masticpin/routing/instance_outcome.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/upstream_instance.h"
#include "sidecar/caller_observer.h"
#include "sidecar/execution_observer.h"
#include "sidecar/http_exchange.h"
#include "sidecar/peer_link.h"
#include "sidecar/request_executor.h"

namespace masticpin {

class RequestRouter;

/// One request of a caller or of the own instance, from its arrival to its answer: chooses where it
/// runs, sends it there, and repeats that where it certainly did not run or may run twice.
class RoutedRequest : public RefCounted<RoutedRequest>,
                      private CallerObserver,
                      private ExecutionObserver,
                      private TimerSubscriber {
 public:
  RoutedRequest(RequestRouter& router, Ref<HttpExchange> exchange);
  ~RoutedRequest() override;

  void Start();

 private:
  void OnCallerDisconnected() override;
  void OnExecutionReply(const wire::ExecutionReply& reply) override;
  void OnExecutionLost(ErrorKind kind, std::string_view reason) override;
  void OnTimer(TimePoint now) override;

  /// Reads the id, the deadline and what the request inherits from the one that caused it.
  void ReadContext();
  /// Draws the service among the destinations of the route.
  void ChooseService();
  /// Returns the instance for the next attempt, or an empty view if there is none.
  std::string_view ChooseInstance() const;
  /// Whether an instance that the request has not reached yet may get it.
  bool MayTryNewInstance() const { return this->reached_instances.size() < this->route->attempts; }
  /// Notes that the request reached the instance of the present attempt.
  void RecordReachedInstance();
  /// Sends the request to an instance, or answers it if there is none.
  void Send();
  wire::ExecutionRequest BuildRequest() const;
  /// Handles the end of an attempt without a response that can be passed on.
  void OnAttemptFailed(ErrorKind kind, Duration retry_after, std::string_view reason);
  /// Whether another attempt is allowed after `kind`, and prepares it.
  bool PrepareRetry(ErrorKind kind);
  /// The part of the instance in the retry budget did not cover the present attempt: asks another
  /// instance for a repeat out of its part.
  void RequestGrant();
  /// Ends the request as the attempt before the present one did.
  void OnRetryDenied();
  /// Sends `message` to the node beside an instance, as the present attempt.
  void Execute(const UpstreamInstance& to, wire::ExecutionRequest message);
  void EndAttempt(InstanceOutcome outcome);
  void Respond(const wire::ExecutionReply& reply);
  void Refuse(ErrorKind kind, Duration retry_after, std::string_view reason);
  void Finish(const OutgoingResponse& reply);
  /// Tells the request that caused this one how it ended.
  void ReportToParent(bool failed) const;
  Duration TimeLeft() const;

  RequestRouter& router;
  const Ref<HttpExchange> exchange;
  const Ref<const RoutingConfiguration> configuration;
  const Route* route = nullptr;
  std::string id;
  std::string service;
  Priority priority;
  TimePoint deadline{};
  bool inner = false;
  bool repeated = false;
  /// Whether the entry throttle of the route waits for the end of the request.
  bool throttle_admitted = false;
  bool refused_for_load = false;
  /// A call that the request caused was refused for load.
  bool chain_refused = false;
  /// An attempt ended without proof that the request did not run.
  bool may_have_run = false;
  bool finished = false;

  /// Repeats that the next instance's node has to grant; 0 while no attempt reached an instance.
  std::uint32_t repeat_cost = 0;
  /// The present exchange asks for a grant alone.
  bool awaiting_grant = false;
  /// Another instance's part of the retry budget covers the next attempt.
  bool granted_elsewhere = false;
  /// How the attempt before the present one ended, and the server's own answer if it gave one.
  ErrorKind last_error{};
  Duration last_retry_after{};
  std::unique_ptr<wire::ExecutionReply> last_reply;

  /// Keeps the request alive until it is finished.
  Ref<RoutedRequest> self;

  /// The present attempt; 0 while there is none.
  std::uint64_t call = 0;
  std::string instance;
  RequestExecutor* target = nullptr;
  /// Keeps the connection alive while the request uses it; nullptr for the own instance.
  Ref<PeerLink> link;
  /// Instances that the next attempt avoids.
  std::vector<std::string> excluded_instances;
  /// Instances that the request reached; their number is bounded by the route's attempts.
  std::vector<std::string> reached_instances;
  /// Sends of all kinds, to the nodes beside the instances.
  std::uint32_t sends = 0;
  std::uint32_t overload_refusals = 0;
  /// Calls that the last attempt caused; another attempt is likely to cause as many.
  std::uint32_t inner_calls = 0;
};

}  // namespace masticpin
