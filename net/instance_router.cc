#include "net/instance_router.h"

namespace masticpin {

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
  const Ref<const Member> member = this->fleet.Selector().Select(request);
  if (member == nullptr || !this->fleet.Thresholds().ShouldSend(member->id.incarnation, priority)) {
    return std::nullopt;
  }
  // No envelope tells this node its own epoch.
  return ExecutionTarget{member->id, member->self ? this->epochs.Current() : member->epoch};
}

bool InstanceRouter::Admits(std::string_view service, Priority priority) {
  SelectionRequest request;
  request.service = service;
  request.priority = priority;
  const Ref<const Member> member = this->fleet.Selector().Select(request);
  return member == nullptr || this->fleet.Thresholds().ShouldSend(member->id.incarnation, priority);
}

}  // namespace masticpin
