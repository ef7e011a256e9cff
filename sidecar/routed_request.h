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
#include "sidecar/allotment_waiter.h"
#include "sidecar/caller_observer.h"
#include "sidecar/http_exchange.h"
#include "sidecar/request_attempt.h"
#include "sidecar/request_attempt_observer.h"
#include "sidecar/unfinished_request.h"

namespace masticpin {

class RequestRouter;

/// One request of a caller or of the local instance, from its arrival to its response: chooses
/// where it runs, sends it there, and retries it if it certainly did not run or is idempotent.
class RoutedRequest : public RefCounted<RoutedRequest>,
                      public UnfinishedRequest,
                      private AllotmentWaiter,
                      private CallerObserver,
                      private RequestAttemptObserver,
                      private TimerSubscriber {
 public:
  RoutedRequest(RequestRouter& router, Ref<HttpExchange> exchange);
  ~RoutedRequest() override;

  void Start();

  void LogCut() const override;

 private:
  void OnCallerDisconnected() override;
  void OnResponseDue() override;
  void OnAttemptReply(RequestAttempt& source, wire::ExecutionReply reply) override;
  void OnAttemptLost(RequestAttempt& source, ErrorKind kind, std::string_view reason) override;
  void OnAttemptStalled(RequestAttempt& source) override;
  void OnTimer(TimePoint now) override;
  void OnAllotmentDecision(bool admitted) override;

  /// Sends the request unless the throttle of its route refuses it.
  void Admit();
  /// Follows the caller's connection and the deadline, and keeps the request alive until it ends.
  void Track();

  /// Whether a stopping node may still pass on the request, which has just arrived.
  bool IsAcceptedDuringStop() const;
  /// Whether the node may start another attempt.
  bool MayStartAttempt() const;
  /// Reads the deadline, and inherits the properties of the request that made this inner call;
  /// `parent` is nullptr for a request of a caller.
  void ReadContext(const RunningRequest* parent);
  /// Decides the importance and the rank of a request of a caller.
  void AssignPriority();
  /// Chooses a service among the destinations of the route, at random by weight.
  void ChooseService();
  /// Returns the instance for the next attempt, or an empty view if there is none.
  std::string_view ChooseInstance() const;
  /// Whether the request may be sent to an instance that it has not reached yet.
  bool MayTryNewInstance() const { return this->reached_instances.size() < this->route->attempts; }
  /// Records that the request reached an instance.
  void RecordReachedInstance(const std::string& name);
  /// Sends the request to an instance, or refuses it if there is none.
  void Send();
  wire::ExecutionRequest BuildRequest() const;
  /// Handles the end of an attempt in which the executing node responded with an error.
  void OnAttemptRefused(std::unique_ptr<RequestAttempt> ended, const wire::ExecutionReply& reply);
  /// Handles the end of an attempt without a response that can be forwarded.
  void OnAttemptFailed(ErrorKind kind, Duration retry_after, std::string_view reason);
  /// Returns whether a retry is allowed after `kind`, and prepares it.
  bool PrepareRetry(ErrorKind kind);
  /// Returns whether another instance may run the request while the current attempt is stalled, and
  /// prepares that.
  bool PrepareHedge();
  /// Makes the next attempt one that the service's retry budget must cover.
  void RequireGrant();
  void LogRepeat(ErrorKind kind) const;
  /// Requests a grant from another instance's share of the retry budget, after the share of the
  /// current instance did not cover the retry.
  void RequestGrant();
  /// Ends the request with the result of the previous attempt, because the retry was denied.
  void OnRetryDenied();
  /// Sends `message` with `body` to the node of an instance, as the current attempt.
  void Execute(const UpstreamInstance& to,
               wire::ExecutionRequest message,
               Ref<const MessageBody> body,
               RequestAttempt::Purpose purpose);
  /// Takes an attempt that has ended out of the current or the stalled ones.
  std::unique_ptr<RequestAttempt> TakeAttempt(RequestAttempt& ended);
  bool HasAttempt() const { return this->attempt != nullptr || !this->stalled_attempts.empty(); }
  /// Cancels all attempts; `outcome` is that of the current one.
  void CancelAttempts(InstanceOutcome outcome);
  /// Ends the request before its attempts have ended: with a failure of the server if there was
  /// one, otherwise with one of two errors, depending on whether the request may have run.
  /// `outcome` is that of the current attempt.
  void EndEarly(InstanceOutcome outcome,
                ErrorKind if_run,
                ErrorKind if_not_run,
                std::string_view reason);
  /// Ends the request after its last attempt failed, unless a stalled attempt may still succeed.
  void RefuseOrWait(ErrorKind kind, Duration retry_after, std::string_view reason);
  void Respond(wire::ExecutionReply reply);
  void Refuse(ErrorKind kind, Duration retry_after, std::string_view reason);
  /// Logs that a request which may have run ends without an answer of its instance, and which
  /// changes of this node are recent.
  void LogMissingAnswer(ErrorKind kind, int status, std::string_view reason) const;
  void Finish(OutgoingResponse reply);
  /// Records the result of an inner call at the request that made it.
  void ReportToParent(bool failed);
  /// Ends the time in which the request that made this inner call waits for it.
  void EndInnerCallTime();
  Duration TimeLeft() const;

  RequestRouter& router;
  const Ref<HttpExchange> exchange;
  const Ref<const RoutingConfiguration> configuration;
  const Route* route = nullptr;
  std::string id;
  /// The client account whose key the request carries; nullptr if there is none.
  const ClientAccount* account = nullptr;
  std::string service;
  Priority priority;
  TimePoint deadline{};
  bool inner = false;
  /// Whether the time of the inner call is being counted at the request that made it.
  bool inner_call_timed = false;
  /// Whether this is a retry after an attempt that reached an instance, or an inner call of one.
  bool is_retry = false;
  /// Whether the request has taken a place of its account's allotment.
  bool allotment_taken = false;
  /// Whether the route's entry throttle admitted the request and must be notified of its end.
  bool throttle_admitted = false;
  /// Whether the request or one of its inner calls was refused because of overload.
  bool refused_for_load = false;
  /// Whether an inner call was refused because of overload.
  bool chain_refused = false;
  /// Whether an attempt ended without proof that the request did not run.
  bool may_have_run = false;
  bool finished = false;

  /// Number of retries that the next instance's node must grant; 0 until an attempt has reached an
  /// instance.
  std::uint32_t retry_cost = 0;
  /// Whether another instance's share of the retry budget covers the next attempt.
  bool granted_elsewhere = false;
  /// Result of the previous attempt, and the server's own reply if there was one.
  ErrorKind last_error{};
  Duration last_retry_after{};
  std::unique_ptr<wire::ExecutionReply> last_reply;

  /// Keeps the request alive until it is finished.
  Ref<RoutedRequest> self;

  std::unique_ptr<RequestAttempt> attempt;
  /// Earlier attempts whose nodes are silent, while the request is repeated elsewhere. The first
  /// answer of any attempt is used.
  std::vector<std::unique_ptr<RequestAttempt>> stalled_attempts;
  /// Instance of the attempt that was sent or has ended last.
  std::string instance;
  /// Instances that the next attempt avoids.
  std::vector<std::string> excluded_instances;
  /// Instances that the request reached; their number is limited by the route's attempts.
  std::vector<std::string> reached_instances;
  /// Number of sends to nodes, whatever their result.
  std::uint32_t sends = 0;
  /// Number of sends after which the request may have run; limited by the route's attempts.
  std::uint32_t runs = 0;
  std::uint32_t overload_refusals = 0;
  /// Number of inner calls that the last attempt made; another attempt is likely to make as many.
  std::uint32_t inner_calls = 0;
};

}  // namespace masticpin
