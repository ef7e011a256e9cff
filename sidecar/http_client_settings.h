#pragma once

#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Bounds on what one server may send and on the time to connect. They protect the process from a
/// server that sends bytes without end.
struct HttpClientSettings {
  /// A server on the same machine accepts immediately; a longer wait means that it has stopped or
  /// its backlog is full.
  Duration connect_timeout = std::chrono::milliseconds(1000);
  /// Maximum size of the body of one response.
  std::size_t max_body_bytes = std::size_t{8} << 20;
  /// Maximum total size of the large bodies that are being received on all connections.
  std::size_t max_large_body_bytes = std::size_t{32} << 20;
};

}  // namespace masticpin
