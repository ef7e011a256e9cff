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

  /// The most requests that may be in flight now; 1 to the ceiling.
  std::uint32_t Limit() const;

  std::uint32_t Ceiling() const { return this->ceiling; }

  /// Changes the ceiling (at least 1). A lower ceiling is in force at once; a higher one only makes
  /// room for the limit to grow.
  void SetCeiling(std::uint32_t new_ceiling);

  /// Reports a successful request that took `service_time`. `in_flight` includes it.
  void OnSuccess(TimePoint now, Duration service_time, std::uint32_t in_flight);

  /// Reports a request that the upstream shed.
  void OnShed(TimePoint now);

  /// Returns to the state after construction; used when the upstream was unreachable and may have
  /// restarted.
  void Restart();

  /// Moving average of the service time; 0 before the first success.
  Duration ExpectedServiceTime() const;

  /// Shortest service time of the last one to two windows with successes; 0 before the first one.
  Duration ShortestServiceTime() const;

 private:
  void RecordShortest(TimePoint now, Duration service_time);
  /// Number of latencies in one round.
  std::uint32_t RoundSize() const;
  /// Evaluates a full round of latencies.
  void EndRound(TimePoint now);
  /// Handles a round whose average is above the knee.
  void OnCongestedRound(TimePoint now, Duration average);
  void EndReferenceMeasurement(TimePoint now, Duration average);
  void SetReference(TimePoint now, Duration latency);
  void Decrease(TimePoint now);
  void ClearRound();

  const LimiterSettings settings;
  std::uint32_t ceiling;
  double limit = 1;
  /// Below this limit growth is fast: the ceiling, after a decrease the limit that it led to.
  double fast_growth_threshold = 1;
  Duration expected_service_time{};

  /// Shortest service times of the current and the previous window; max() while there is none.
  Duration shortest_current = Duration::max();
  Duration shortest_previous = Duration::max();
  TimePoint shortest_start{};

  /// Latencies of the current round.
  std::uint32_t round_count = 0;
  Duration round_sum{};
  TimePoint round_start{};

  /// Lowest average of the window; 0 before the first round.
  Duration reference{};
  TimePoint reference_time{};

  /// The last round was above the knee.
  bool congested = false;
  TimePoint last_decrease{};
  /// Limit and average at the start of the current run of decreases, which ends at half the limit.
  double decrease_start_limit = 0;
  Duration decrease_start_latency{};

  /// The reference is being measured at half of `saved_limit`.
  bool measuring = false;
  double saved_limit = 0;
  /// Latencies before this time belong to requests admitted under the full limit.
  TimePoint measuring_from{};
};

}  // namespace masticpin
