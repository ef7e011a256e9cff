#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin {

/// Counts durations in log-spaced buckets from 10 us to 60 s, with one more bucket on each side.
/// Thread-safe; Record() neither locks nor allocates.
class LatencyHistogram {
 public:
  /// One bucket as it was at the time of Read().
  struct Bucket {
    /// Upper bound; Duration::max() for the last bucket.
    Duration upper{};
    /// Durations below `upper` and not below the bucket before.
    std::uint64_t count = 0;
  };

  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;
  ~LatencyHistogram();

  /// Counts one duration. A negative one counts as 0.
  void Record(Duration duration);

  /// Returns all buckets from the shortest to the longest durations.
  std::vector<Bucket> Read() const;

  /// Sum of all recorded durations.
  Duration Sum() const;

  /// Returns an estimate of the quantile `q` in [0, 1]: at most one bucket (26%) off between 10 us
  /// and 60 s, clamped to these bounds outside. Returns 0 when nothing was recorded.
  Duration Quantile(double q) const;

 private:
  struct Data;

  std::unique_ptr<Data> data;
};

}  // namespace masticpin
