#pragma once

#include <cstdint>
#include <limits>

#include "masticpin/base/time.h"

namespace masticpin {

/// Summary of the decisions of the last one to two windows. Not thread-safe.
class RecentDecisions {
 public:
  explicit RecentDecisions(Duration window) : window(window) {}

  /// `packed_priority` is Priority::Packed() of the admitted request.
  void OnAdmitted(TimePoint now, std::uint32_t packed_priority);

  /// Reports a request refused for lack of capacity.
  void OnRefused(TimePoint now);

  /// Lowest packed priority admitted recently, or 0 while nothing is refused. It takes the lowest
  /// instead of the highest one refused, because a threshold that is too high leaves slots unused.
  std::uint32_t Threshold(TimePoint now) const;

  /// Refusals for each admission; 0 while nothing is refused.
  double RefusalRatio(TimePoint now) const;

 private:
  static constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

  struct Bucket {
    std::uint32_t lowest_admitted = kNone;
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
  };

  /// Both buckets in one, without those that are too old at `now`.
  Bucket Sum(TimePoint now) const;
  void Rotate(TimePoint now);

  const Duration window;
  TimePoint current_start{};
  Bucket current;
  Bucket previous;
};

}  // namespace masticpin
