#pragma once

namespace masticpin {

/// What a client account may send over all nodes together.
struct Allotment {
  /// Requests per second; must be positive.
  double rate_per_second = 0;
  /// Requests that may be sent at once beyond the rate.
  double burst = 0;
};

}  // namespace masticpin
