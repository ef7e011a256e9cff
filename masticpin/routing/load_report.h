#pragma once

#include <cstdint>

namespace masticpin {

/// Load of one instance as its node reports it.
struct LoadReport {
  /// Present concurrency limit; 0 while the upstream accepts no connection.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// Lowest Priority::Packed() that is admitted now; 0 admits all.
  std::uint32_t threshold = 0;
  /// Repeats that the instance's part of the retry budget still covers.
  std::uint32_t retries_left = 0;
};

}  // namespace masticpin
