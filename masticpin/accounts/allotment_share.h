#pragma once

#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Answer of the owner of an allotment to a report.
struct AllotmentShare {
  /// Share of the requests of the account that each node admits from now on; 0 to 1.
  double admitted_share = 1;
  /// Requests per second that all nodes together were offered.
  double offered_per_second = 0;
  /// Whether the owner has held the allotment long enough for the numbers above to be valid.
  bool settled = true;
  /// How many of the requests that wait for a decision are admitted.
  std::uint32_t granted = 0;
  /// Time after which a request that is refused now has a fair chance.
  Duration retry_after{};
};

}  // namespace masticpin
