#pragma once

#include <cstdint>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct EntryThrottleSettings {
  /// Shortest time between two changes of the admitted share.
  Duration interval = std::chrono::milliseconds(250);
  /// Requests that have to end in an interval before the share is judged; with fewer, the interval
  /// goes on, up to `longest_interval`.
  std::uint32_t min_requests = 8;
  Duration max_interval = std::chrono::milliseconds(1000);
  /// Share of refused chains that counts as the normal noise of a full service. What a steady
  /// overload wastes is of this order.
  double refusal_tolerance = 0.05;
  /// Fastest growth of the admitted share in one interval without more refusals than `tolerance`.
  double max_growth_factor = 1.3;
  /// Growth one second after a decrease, above the share that the services just carried. It rises
  /// with the square of that time, so that a steady overload is tested gently and the end of an
  /// overload is noticed within a few seconds.
  double initial_growth = 0.04;
  /// Smallest admitted share, so that a route without any success keeps testing.
  double min_share = 0.03;
};

/// Refuses requests of one route where they arrive, when services deeper in their call chain refuse
/// the calls that they cause. It answers the load in which a deep service is short: half of the
/// chains that start would otherwise fail at their last call, after all earlier work was done for
/// nothing. The admitted share falls with the share of chains that fail that way, and grows while
/// they succeed. Not thread-safe.
class EntryThrottle {
 public:
  using Settings = EntryThrottleSettings;

  /// `clock` must outlive the throttle.
  explicit EntryThrottle(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Decides about one request that has arrived. `rank` is the request's order within its
  /// importance, which all services of the chain share: the same requests are refused here that a
  /// deep service would refuse.
  bool Admit(std::uint16_t rank);

  /// A request that was admitted at `admitted_at` has ended; `refused` says whether it, or a call
  /// that it caused, was refused for load.
  void OnEnd(TimePoint admitted_at, bool refused);

  /// Share of the requests that is refused now; 0 to 1 - `least_share`.
  double RefusalShare() const { return 1 - this->admitted_share; }

 private:
  /// Changes the share if the present interval has ended.
  void Update();
  /// Factor by which the share grows in one interval.
  double GrowthFactor(TimePoint now) const;

  const Clock& clock;
  const Settings settings;
  /// Share of the requests that is admitted.
  double admitted_share = 1;
  TimePoint interval_start{};
  /// Share of the requests that the services carried when they last refused some.
  double sustained_share = 1;
  /// Requests admitted before this time say nothing about the present share.
  TimePoint last_decrease{};
  std::uint32_t ended = 0;
  std::uint32_t refused_chains = 0;
};

}  // namespace masticpin
