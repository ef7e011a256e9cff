#include "sidecar/request_attempt.h"

#include <cassert>
#include <utility>

namespace masticpin {

RequestAttempt::RequestAttempt(RequestAttemptObserver& observer,
                               ZoneAwareLoadBalancer& balancer,
                               std::string instance,
                               std::uint64_t call,
                               Purpose purpose)
    : observer(observer),
      balancer(balancer),
      instance(std::move(instance)),
      call(call),
      purpose(purpose) {}

RequestAttempt::~RequestAttempt() {
  assert(this->ended || this->target == nullptr);
}

void RequestAttempt::Start(RequestExecutor& new_target,
                           Ref<PeerLink> new_link,
                           wire::ExecutionRequest message,
                           Ref<const MessageBody> body) {
  this->target = &new_target;
  this->link = std::move(new_link);
  this->balancer.OnSent(this->instance);
  message.set_call(this->call);
  message.set_grant_only(this->IsGrantRequest());
  new_target.Execute(std::move(message), std::move(body), *this);
}

void RequestAttempt::Cancel(InstanceOutcome outcome) {
  this->target->Cancel(this->call);
  this->End(outcome);
}

void RequestAttempt::End(InstanceOutcome outcome) {
  assert(!this->ended);
  this->ended = true;
  this->balancer.OnOutcome(this->instance, outcome);
}

void RequestAttempt::OnExecutionReply(wire::ExecutionReply reply) {
  this->observer.OnAttemptReply(*this, std::move(reply));
}

void RequestAttempt::OnExecutionLost(ErrorKind kind, std::string_view reason) {
  this->observer.OnAttemptLost(*this, kind, reason);
}

void RequestAttempt::OnExecutionStalled() {
  this->observer.OnAttemptStalled(*this);
}

}  // namespace masticpin
