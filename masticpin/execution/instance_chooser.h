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

/// An executing node as last seen.
struct ExecutionTarget {
  InstanceId instance;
  /// Its epoch, from its last message.
  std::uint32_t epoch = 0;
};

/// Chooses the instance for one dispatch.
class InstanceChooser {
 public:
  virtual ~InstanceChooser() = default;

  /// Returns an instance of `service` whose name is not in `exclude` and that probably admits work
  /// of `priority`; nothing if there is none.
  virtual std::optional<ExecutionTarget> Choose(std::string_view service,
                                                std::span<const std::string> exclude,
                                                Priority priority) = 0;

  /// Why the last Choose() returned nothing.
  virtual ActionResult LastRefusal() const { return ActionResult::Failed(ErrorKind::kNoInstance); }
};

}  // namespace masticpin
