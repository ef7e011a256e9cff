#pragma once

namespace masticpin {

/// Is told that the caller of a request does not wait any more.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  /// Called at most once, and not after the request was answered.
  virtual void OnCallerDisconnected() = 0;
};

}  // namespace masticpin
