#pragma once

#include <string_view>

#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// Observes the changes of an instance directory. Must not change the directory from within a
/// callback.
class InstanceDirectoryObserver {
 public:
  virtual ~InstanceDirectoryObserver() = default;

  /// Called when an instance was added or one of its fields changed.
  virtual void OnInstanceUpdated(const UpstreamInstance& instance) = 0;

  virtual void OnInstanceRemoved(std::string_view name) = 0;
};

}  // namespace masticpin
