#pragma once

#include <cstdint>
#include <limits>

#include "masticpin/base/time.h"

namespace masticpin {

/// Counts the admissions and refusals of the current and the previous window. Not thread-safe.
class RecentDecisions {
 public:
  explicit RecentDecisions(Duration window) : window(window) {}

  /// `packed_priority` is Priority::Packed() of the admitted request.
  void OnAdmitted(TimePoint now, std::uint32_t packed_priority);

  /// Records a request refused for lack of capacity.
  void OnRefused(TimePoint now);

  /// Lowest packed priority admitted recently; 0 if nothing was refused recently. The highest
  /// refused priority would be a stricter threshold, but a threshold that is too high leaves slots
  /// unused.
  std::uint32_t Threshold(TimePoint now) const;

  /// Number of refusals per admission; 0 if nothing was refused recently.
  double RefusalRatio(TimePoint now) const;

 private:
  static constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();

  struct Bucket {
    std::uint32_t lowest_admitted = kNone;
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
  };

  /// Sum of both buckets, without those that are too old at `now`.
  Bucket Sum(TimePoint now) const;
  void Rotate(TimePoint now);

  const Duration window;
  TimePoint current_start{};
  Bucket current;
  Bucket previous;
};

}  // namespace masticpin
