#include "net/instance_router.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

/// A threshold is valid for 250 ms, so an earlier retry would be refused again. The random spread
/// prevents callers that were refused at the same time from retrying at the same time.
constexpr milliseconds kThresholdMaxAge{250};
constexpr milliseconds kThresholdRetrySpread{500};

/// Restarted instances are available again within seconds.
constexpr milliseconds kNoInstanceRetryAfter{1000};

}  // namespace

std::optional<ExecutionTarget> InstanceRouter::Choose(std::string_view service,
                                                      std::span<const std::string> exclude,
                                                      Priority priority) {
  this->excluded.clear();
  for (const std::string& name : exclude) {
    const Ref<const Member> member = this->fleet.Members().Find(name);
    if (member != nullptr) {
      this->excluded.push_back(member->id);
    }
  }
  SelectionRequest request;
  request.service = service;
  request.priority = priority;
  request.excluded = this->excluded;
  const Ref<const Member> member = this->fleet.Balancer().Select(request);
  if (member == nullptr || !this->fleet.Thresholds().ShouldSend(member->id.incarnation, priority)) {
    return std::nullopt;
  }
  // No envelope states the epoch of this node itself, so it is read from the counter.
  return ExecutionTarget{member->id, member->self ? this->epochs.Current() : member->epoch};
}

ActionResult InstanceRouter::LastRefusal() const {
  return this->refused_by_threshold
             ? ActionResult::Failed(ErrorKind::kOverloaded, this->ThresholdRetryAfter())
             : ActionResult::Failed(ErrorKind::kNoInstance, kNoInstanceRetryAfter);
}

std::chrono::milliseconds InstanceRouter::ThresholdRetryAfter() const {
  const auto spread = static_cast<std::uint64_t>(kThresholdRetrySpread.count());
  return kThresholdMaxAge + std::chrono::milliseconds(this->random.NextBelow(spread));
}

bool InstanceRouter::Admits(std::string_view service, Priority priority) {
  SelectionRequest request;
  request.service = service;
  request.priority = priority;
  const Ref<const Member> member = this->fleet.Balancer().Select(request);
  return member == nullptr || this->fleet.Thresholds().ShouldSend(member->id.incarnation, priority);
}

}  // namespace masticpin
