#pragma once

namespace masticpin {

/// Receives what LocalExecutor needs from the node.
class LocalExecutorObserver {
 public:
  virtual ~LocalExecutorObserver() = default;

  /// Called when the executor needs the current entry of the local instance, because its state may
  /// be outdated.
  virtual void OnInstanceStateOutdated() = 0;
};

}  // namespace masticpin
