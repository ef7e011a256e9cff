#pragma once

#include <cstdint>

namespace masticpin {

/// Result of an admitted request at the upstream.
enum class Completion : std::uint8_t {
  kSuccess,
  /// The upstream shed it because of its own load.
  kShed,
  /// The upstream responded with another error, or closed the connection before the response was
  /// complete.
  kFailed,
  /// No connection to the upstream could be made.
  kUnreachable,
  /// The caller or the node cancelled it.
  kCancelled,
};

}  // namespace masticpin
