#pragma once

#include <cstdint>

namespace masticpin {

/// Load of one instance as reported by its node.
struct LoadReport {
  /// Current concurrency limit; 0 while the upstream accepts no connections.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// Lowest Priority::Packed() that is currently admitted; 0 admits all.
  std::uint32_t threshold = 0;
  /// Number of retries that the retry budget of the instance still covers.
  std::uint32_t retries_left = 0;
};

}  // namespace masticpin
