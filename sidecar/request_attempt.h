#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/instance_outcome.h"
#include "masticpin/routing/zone_aware_load_balancer.h"
#include "sidecar/execution_observer.h"
#include "sidecar/peer_link.h"
#include "sidecar/request_attempt_observer.h"
#include "sidecar/request_executor.h"

namespace masticpin {

/// One send of a routed request to the node of an instance, until its result.
class RequestAttempt : public ExecutionObserver {
 public:
  enum class Purpose : std::uint8_t {
    kRun,
    /// Asks only for a grant of a retry that goes to another instance.
    kGrant,
  };

  /// `observer` and `balancer` must outlive the attempt.
  RequestAttempt(RequestAttemptObserver& observer,
                 ZoneAwareLoadBalancer& balancer,
                 std::string instance,
                 std::uint64_t call,
                 Purpose purpose);
  ~RequestAttempt() override;

  /// Sends `message` with `body`. `link` is `target` if that is a peer, otherwise nullptr. The
  /// observer may be called, and may destroy this object, before the method returns.
  void Start(RequestExecutor& target,
             Ref<PeerLink> link,
             wire::ExecutionRequest message,
             Ref<const MessageBody> body);

  /// Ends the attempt at the executing node, and reports its outcome.
  void Cancel(InstanceOutcome outcome);

  /// Reports the outcome to the load balancer. Must be called once, unless Cancel() is.
  void End(InstanceOutcome outcome);

  const std::string& Instance() const { return this->instance; }
  bool IsGrantRequest() const { return this->purpose == Purpose::kGrant; }

 private:
  void OnExecutionReply(wire::ExecutionReply reply) override;
  void OnExecutionLost(ErrorKind kind, std::string_view reason) override;
  void OnExecutionStalled() override;

  RequestAttemptObserver& observer;
  ZoneAwareLoadBalancer& balancer;
  const std::string instance;
  const std::uint64_t call;
  const Purpose purpose;
  bool ended = false;
  RequestExecutor* target = nullptr;
  /// Keeps the connection alive while the attempt uses it; nullptr for the local instance.
  Ref<PeerLink> link;
};

}  // namespace masticpin
