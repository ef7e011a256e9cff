#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "masticpin/admission/priority.h"
#include "masticpin/base/instance_id.h"
#include "masticpin/execution/action_result.h"

namespace masticpin {

/// An executor with its last known incarnation and epoch.
struct ExecutionTarget {
  InstanceId instance;
  /// Epoch of the executor, from its last message.
  std::uint32_t epoch = 0;
};

/// Chooses the instance for one dispatch.
class InstanceChooser {
 public:
  virtual ~InstanceChooser() = default;

  /// Returns an instance of `service` whose name is not in `exclude` and that is likely to admit
  /// work of `priority`; nothing if there is none.
  virtual std::optional<ExecutionTarget> Choose(std::string_view service,
                                                std::span<const std::string> exclude,
                                                Priority priority) = 0;

  /// Why the last Choose() returned nothing.
  virtual ActionResult LastRefusal() const { return ActionResult::Failed(ErrorKind::kNoInstance); }
};

}  // namespace masticpin
