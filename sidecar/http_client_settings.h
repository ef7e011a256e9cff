#pragma once

#include <cstddef>

#include "masticpin/admission/body_memory.h"
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
  /// Maximum total size of the large bodies that are being received on all connections, if `memory`
  /// is nullptr.
  std::size_t max_large_body_bytes = std::size_t{32} << 20;
  /// Account of the bodies that are being received; must outlive the client. If it is nullptr, the
  /// client has an account of its own.
  BodyMemory* memory = nullptr;
};

}  // namespace masticpin
