#pragma once

#include <cstdint>

namespace masticpin {

/// Numbers of requests by their result at the local instance, since the start of the process.
struct LocalExecutorStatistics {
  std::uint64_t offered = 0;
  /// Sent to the instance.
  std::uint64_t started = 0;
  /// Not run and not shed: refused by the node, or the instance was unreachable or responded with
  /// 421.
  std::uint64_t refused = 0;
  /// Refused by the instance itself.
  std::uint64_t shed = 0;
  /// Retries granted and denied by the retry budget.
  std::uint64_t retries_granted = 0;
  std::uint64_t retries_denied = 0;
  /// Sent to the instance, but ended without a complete and sealed response.
  std::uint64_t broken = 0;
  /// Sent to the instance although the node knew that it is leaving.
  std::uint64_t sent_after_leave = 0;
  /// Under way from their nodes for a long time before they were offered.
  std::uint64_t delayed = 0;
};

}  // namespace masticpin
