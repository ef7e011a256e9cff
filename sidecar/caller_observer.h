#pragma once

namespace masticpin {

/// Receives what the connection of a caller tells about a request without a response. Nothing is
/// called after HttpExchange::Respond().
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  /// Called at most once, when the caller has disconnected.
  virtual void OnCallerDisconnected() = 0;

  /// Called when the process is about to exit and responses to later requests of the connection
  /// wait behind this one. The observer responds at once.
  virtual void OnResponseDue() = 0;
};

}  // namespace masticpin
