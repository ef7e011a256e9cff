#pragma once

#include <cstdint>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct EntryThrottleSettings {
  /// Minimum time between two changes of the admitted share.
  Duration interval = std::chrono::milliseconds(250);
  /// Requests that must end in an interval before the share is changed. With fewer requests the
  /// interval is extended, up to `max_interval`.
  std::uint32_t min_requests = 8;
  Duration max_interval = std::chrono::milliseconds(1000);
  /// Share of refused call chains that is normal for a fully loaded service. A steady overload
  /// wastes about this share of the work.
  double refusal_tolerance = 0.05;
  /// Maximum factor by which the admitted share grows in an interval in which the share of refused
  /// call chains does not exceed `refusal_tolerance`.
  double max_growth_factor = 1.3;
  /// Relative growth of the admitted share in the interval one second after a decrease, once the
  /// share has reached the one that the services last sustained. The growth increases with the
  /// square of the time since the decrease, so that a steady overload is probed cautiously and the
  /// end of an overload is noticed within a few seconds.
  double growth_after_one_second = 0.04;
  /// Minimum admitted share, so that some requests still probe a route on which none succeed.
  double min_share = 0.03;
};

/// Refuses requests of one route at the node where they enter, when services deeper in their call
/// chain refuse their inner calls. Without it, if a deep service lacks capacity, half of the
/// started call chains fail at their last inner call, and all earlier work is wasted. The admitted
/// share falls with the share of call chains that fail this way, and grows while they succeed. Not
/// thread-safe.
class EntryThrottle {
 public:
  using Settings = EntryThrottleSettings;

  /// `clock` must outlive the throttle.
  explicit EntryThrottle(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Decides whether to admit a request. `rank` is the order of the request within its importance
  /// and is the same at all services of the call chain, so that the throttle refuses the requests
  /// that a deep service would refuse.
  bool Admit(std::uint16_t rank);

  /// Records the end of a request that was admitted at `admitted_at`. `refused` tells whether the
  /// request or one of its inner calls was refused because of load.
  void OnEnd(TimePoint admitted_at, bool refused);

  /// Share of the requests that is currently refused; 0 to 1 - `min_share`.
  double RefusalShare() const { return 1 - this->admitted_share; }

 private:
  /// Updates the admitted share if the current interval has ended.
  void Update();
  /// Factor by which the admitted share grows in one interval.
  double GrowthFactor(TimePoint now) const;

  const Clock& clock;
  const Settings settings;
  /// Share of the requests that is admitted.
  double admitted_share = 1;
  TimePoint interval_start{};
  /// Share of the requests that the services could handle when they last refused some.
  double sustained_share = 1;
  /// Requests admitted before this time do not reflect the current share and are ignored.
  TimePoint last_decrease{};
  std::uint32_t ended = 0;
  std::uint32_t refused_chains = 0;
};

}  // namespace masticpin
