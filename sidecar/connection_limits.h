#pragma once

#include <cstddef>

namespace masticpin {

/// Bounds on the connections that a process accepts from callers.
struct ConnectionLimits {
  /// At the address for requests.
  std::size_t max_callers = 0;
  /// At each of the addresses for readiness and metrics.
  std::size_t max_observers = 0;
};

/// Returns the limits that follow from the limit of open descriptors of the process
/// (RLIMIT_NOFILE) and from its memory. They leave descriptors for peers and the upstream.
ConnectionLimits ReadConnectionLimits(std::size_t memory_bytes);

}  // namespace masticpin
