#pragma once

#include <string_view>

#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// Is told about each change of an instance directory. Must not change the directory from within a
/// call.
class InstanceDirectoryObserver {
 public:
  virtual ~InstanceDirectoryObserver() = default;

  /// The instance is new, or one of its fields changed.
  virtual void OnInstanceUpdated(const UpstreamInstance& instance) = 0;

  virtual void OnInstanceRemoved(std::string_view name) = 0;
};

}  // namespace masticpin
