#pragma once

#include <algorithm>
#include <cstdint>

namespace masticpin {

/// Decides how many attempts one dispatch is granted.
class GrantPolicy {
 public:
  /// Returns the size of the grant, or 0 if `remaining` is less than `cost`, the number of attempts
  /// of the cheapest complete call tree of the kind. Twice the cost allows one retry of each inner
  /// call on average and leaves the remaining attempts for a retry by the sender.
  static std::uint32_t Decide(std::uint32_t remaining, std::uint32_t cost) {
    const std::uint32_t needed = std::max<std::uint32_t>(cost, 1);
    if (remaining < needed) {
      return 0;
    }
    return remaining - needed < needed ? remaining : 2 * needed;
  }
};

}  // namespace masticpin
