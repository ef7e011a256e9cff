#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/routing/key_hash.h"

namespace masticpin {

/// A client account as the operator configured it.
struct ClientAccount {
  std::string name;
  std::vector<KeyHash> keys;
  /// Rank by importance that replaces the one of the route; 0 is the most important.
  std::optional<std::uint32_t> urgency_rank;
  /// Allotment over all nodes together, in requests per second; 0 if the account has no limit.
  double rate_per_second = 0;
  /// Number of requests that the account may send at once beyond its rate.
  double burst = 0;
};

}  // namespace masticpin
