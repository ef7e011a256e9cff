#pragma once

#include <cstdint>

namespace masticpin {

/// Numbers of requests by their result at the local instance, since the start of the process.
struct LocalExecutorStatistics {
  std::uint64_t offered = 0;
  /// Sent to the instance.
  std::uint64_t started = 0;
  /// Refused by the node before they were sent.
  std::uint64_t refused = 0;
  /// Refused by the instance itself.
  std::uint64_t shed = 0;
  /// Retries granted and denied by the retry budget.
  std::uint64_t retries_granted = 0;
  std::uint64_t retries_denied = 0;
  /// Ended without a complete response.
  std::uint64_t broken = 0;
};

}  // namespace masticpin
