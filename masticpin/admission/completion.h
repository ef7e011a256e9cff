#pragma once

#include <cstdint>

namespace masticpin {

/// How an admitted request ended at the upstream.
enum class Completion : std::uint8_t {
  kSuccess,
  /// The upstream refused it because of its own load.
  kShed,
  /// The upstream answered with an error of another kind, or broke the connection.
  kFailed,
  /// No connection to the upstream could be made.
  kUnreachable,
  /// The caller or the node cancelled it.
  kCancelled,
};

}  // namespace masticpin
