#pragma once

#include <string>

namespace masticpin {

/// Receives what LocalExecutor needs from the node.
class LocalExecutorObserver {
 public:
  virtual ~LocalExecutorObserver() = default;

  /// Called when the executor needs the current entry of the local instance, because its state may
  /// be outdated.
  virtual void OnInstanceStateOutdated() = 0;

  /// Called when another process than before runs at the address of the local instance, under
  /// `name`, which may be that of the previous one.
  virtual void OnInstanceReplaced(const std::string& name) = 0;
};

}  // namespace masticpin
