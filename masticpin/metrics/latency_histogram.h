#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin {

/// Counts durations in logarithmically spaced buckets from 10 us to 60 s, with one more bucket on
/// each side. Thread-safe; Record() neither locks nor allocates.
class LatencyHistogram {
 public:
  /// State of one bucket at the time of Read().
  struct Bucket {
    /// Upper bound; Duration::max() for the last bucket.
    Duration upper{};
    /// Number of durations below `upper` and not below the upper bound of the previous bucket.
    std::uint64_t count = 0;
  };

  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;
  ~LatencyHistogram();

  /// Records a duration. A negative duration counts as 0.
  void Record(Duration duration);

  /// Returns all buckets, from the shortest to the longest durations.
  std::vector<Bucket> Read() const;

  /// Sum of all recorded durations.
  Duration Sum() const;

  /// Returns an estimate of the quantile `q` in [0, 1]. Between 10 us and 60 s the error is at most
  /// the width of a bucket (26%); other values are clamped to these bounds. Returns 0 if nothing
  /// was recorded.
  Duration Quantile(double q) const;

 private:
  struct Data;

  std::unique_ptr<Data> data;
};

}  // namespace masticpin
