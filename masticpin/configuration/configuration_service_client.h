#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "masticpin/base/time.h"

namespace masticpin {

enum class ServiceStatus : std::uint8_t {
  /// 200 with a value.
  kValue,
  /// 304: the version is still the one given.
  kNotModified,
  /// 404: the service has no such document.
  kMissing,
  /// 429: above the call rate.
  kThrottled,
  /// 5xx, no connection or no answer in time.
  kUnavailable,
};

/// Answer of the configuration service.
struct ServiceResponse {
  ServiceStatus status = ServiceStatus::kUnavailable;
  std::uint64_t version = 0;
  std::string bytes;
};

/// Reads the configuration service. The implementation does the I/O.
class ConfigurationServiceClient {
 public:
  using Callback = std::function<void(ServiceResponse)>;

  virtual ~ConfigurationServiceClient() = default;

  /// Starts one call. With `wait` above zero the service answers when its version differs from
  /// `after`, or with kNotModified when the wait is over. The callback is called once, on the
  /// owner's thread and never before Read() returns, unless the call is cancelled. Returns the
  /// number of the call, never 0.
  virtual std::uint64_t Read(const std::string& name,
                             std::uint64_t after,
                             Duration wait,
                             Callback callback) = 0;

  /// Cancels a call: its callback will not be called. Does nothing when the call is over.
  virtual void Cancel(std::uint64_t call) = 0;
};

}  // namespace masticpin
