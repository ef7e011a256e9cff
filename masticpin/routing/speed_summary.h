#pragma once

#include <cstddef>

namespace masticpin {

/// What a node knows about the speed of all instances, for metrics.
struct SpeedSummary {
  /// Instances with a measurement that has not expired.
  std::size_t known = 0;
  /// Those with another pace than the usual one of their service, and those that count as slow.
  std::size_t uneven = 0;
  std::size_t slow = 0;
  /// Largest and smallest pace; 1 is the usual one.
  double max_pace = 1;
  double min_pace = 1;
};

}  // namespace masticpin
