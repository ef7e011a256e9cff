#pragma once

#include "masticpin/accounts/allotment.h"

namespace masticpin {

/// By how much the operator accepts that an allotment is exceeded, because no node knows at once
/// what all others admit.
struct AllotmentTolerance {
  /// Share of the allotment.
  double share = 0;
  /// Number of requests in a window of a few seconds.
  double requests = 0;

  /// Returns the allotment that nodes admit: it includes half of the tolerance, so that accounts
  /// whose load is uneven are not refused at their limit. The other half is for what nodes admit
  /// before they know of a jump.
  Allotment Apply(const Allotment& allotment) const {
    return {allotment.rate_per_second * (1 + this->share / 2),
            allotment.burst * (1 + this->share / 2) + this->requests / 2};
  }
};

}  // namespace masticpin
