#pragma once

#include <mutex>

#include "masticpin/base/ref_counted.h"
#include "net/upstream_exchange.h"

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
  bool Attach(Ref<UpstreamExchange> new_exchange);
  void Detach();

  mutable std::mutex mutex;
  Ref<UpstreamExchange> exchange;
  bool cancelled = false;
};

}  // namespace masticpin
