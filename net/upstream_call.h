#pragma once

#include <mutex>

namespace httplib {
class Client;
}

namespace masticpin {

/// One call to an upstream that another thread can cancel.
class UpstreamCall {
 public:
  /// Cancels the call by closing its connection, which tells the upstream to stop. Thread-safe.
  void Cancel();

  bool IsCancelled() const;

 private:
  friend class UpstreamClient;

  /// Returns false if the call was cancelled before it began.
  bool Attach(httplib::Client& client);
  void Detach();

  mutable std::mutex mutex;
  httplib::Client* client = nullptr;
  bool cancelled = false;
};

}  // namespace masticpin
