#pragma once

namespace masticpin {

/// What the owner of an allotment tells the owner that takes it over.
struct AllotmentBucketState {
  /// Requests left in the bucket; negative for a debt.
  double level = 0;
  /// Requests that were admitted since the owner holds the allotment.
  double admitted = 0;
};

}  // namespace masticpin
