#pragma once

#include <cstdint>

#include "masticpin/admission/admission_settings.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// Adaptive concurrency limit between 1 and a ceiling. It starts at a share of the ceiling.
/// Not thread-safe.
class ConcurrencyLimiter {
 public:
  /// `ceiling` is at least 1.
  ConcurrencyLimiter(const LimiterSettings& settings, std::uint32_t ceiling);

  /// Maximum number of requests in flight; from 1 to the ceiling.
  std::uint32_t Limit() const;

  std::uint32_t Ceiling() const { return this->ceiling; }

  /// Changes the ceiling (at least 1). A lower ceiling takes effect at once. A higher one lets the
  /// limit grow; the limit follows it at once only if it starts at the whole ceiling and was at the
  /// ceiling.
  void SetCeiling(std::uint32_t new_ceiling);

  /// Records a successful request that took `service_time`. `in_flight` includes it.
  void OnSuccess(TimePoint now, Duration service_time, std::uint32_t in_flight);

  /// Records a request that the upstream shed.
  void OnShed(TimePoint now);

  /// Resets the limit to its initial value; used when the upstream was unreachable and may have
  /// restarted.
  void Restart();

  /// Moving average of the service time; 0 before the first success.
  Duration ExpectedServiceTime() const;

  /// Shortest successful service time of the current and the previous window; 0 before the first
  /// success.
  Duration ShortestServiceTime() const;

 private:
  void RecordShortest(TimePoint now, Duration service_time);
  /// Number of latencies in one round.
  std::uint32_t RoundSize() const;
  /// Evaluates a completed round of latencies.
  void EndRound(TimePoint now);
  /// Handles a round whose average exceeds the maximum latency ratio.
  void OnCongestedRound(TimePoint now, Duration average);
  void EndReferenceMeasurement(TimePoint now, Duration average);
  void SetReference(TimePoint now, Duration latency);
  void Decrease(TimePoint now);
  void ClearRound();

  const LimiterSettings settings;
  std::uint32_t ceiling;
  double limit = 1;
  /// Growth is fast below this limit: initially the ceiling, later the limit after the last
  /// decrease or, if lower, the limit at which the latency began to rise.
  double fast_growth_threshold = 1;
  Duration expected_service_time{};

  /// Shortest service times of the current and the previous window; max() if there is none.
  Duration shortest_current = Duration::max();
  Duration shortest_previous = Duration::max();
  TimePoint shortest_start{};

  /// Latencies of the current round.
  std::uint32_t round_count = 0;
  Duration round_sum{};
  TimePoint round_start{};

  /// Reference latency: the lowest round average since it was last measured; 0 before the first
  /// round.
  Duration reference{};
  TimePoint reference_time{};

  /// Whether the average of the last round exceeded the maximum latency ratio.
  bool congested = false;
  TimePoint last_decrease{};
  /// Limit and average latency when the current series of decreases began. The series ends at half
  /// of this limit.
  double decrease_start_limit = 0;
  Duration decrease_start_latency{};

  /// Whether the reference is being measured at half of `saved_limit`.
  bool measuring = false;
  double saved_limit = 0;
  /// Latencies recorded before this time belong to requests admitted under the full limit.
  TimePoint measuring_from{};
};

}  // namespace masticpin
