#pragma once

namespace masticpin {

/// Receives the notification that the caller of a request has disconnected.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  /// Called at most once, and never after HttpExchange::Respond().
  virtual void OnCallerDisconnected() = 0;
};

}  // namespace masticpin
