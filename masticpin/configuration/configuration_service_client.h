#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "masticpin/base/time.h"

namespace masticpin {

enum class ServiceStatus : std::uint8_t {
  /// 200 with a value.
  kValue,
  /// 304: the version still equals the one given in the call.
  kNotModified,
  /// 404: the service does not have the document.
  kMissing,
  /// 429: the call rate limit is exceeded.
  kThrottled,
  /// 5xx, no connection, or no response in time.
  kUnavailable,
};

/// Response of the configuration service.
struct ServiceResponse {
  ServiceStatus status = ServiceStatus::kUnavailable;
  std::uint64_t version = 0;
  std::string bytes;
};

/// Reads documents from the configuration service. Implementations do the I/O.
class ConfigurationServiceClient {
 public:
  using Callback = std::function<void(ServiceResponse)>;

  virtual ~ConfigurationServiceClient() = default;

  /// Starts one call and returns its id, which is never 0. If `wait` is greater than zero, the
  /// service answers as soon as its version differs from `after`, or with kNotModified when the
  /// wait has elapsed. Unless the call is cancelled, the callback is called exactly once, on the
  /// owner's thread and never before Read() returns.
  virtual std::uint64_t Read(const std::string& name,
                             std::uint64_t after,
                             Duration wait,
                             Callback callback) = 0;

  /// Cancels a call: its callback will not be called. Does nothing if the call has ended.
  virtual void Cancel(std::uint64_t call) = 0;
};

}  // namespace masticpin
