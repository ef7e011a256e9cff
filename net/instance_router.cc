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
  return ExecutionTarget{member->id, member->epoch};
}

}  // namespace masticpin
