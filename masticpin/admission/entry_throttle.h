#pragma once

#include <cstdint>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct EntryThrottleSettings {
  /// Time constant of the moving sums. Short against the 11 s wave of the daily traffic, long enough
  /// for some 20 requests of one route at one node.
  Duration window = std::chrono::seconds(2);
  /// Requests admitted for each one that the call chain served. The excess keeps finding out whether
  /// there is room again; it is what a steady overload wastes.
  double probe_ratio = 1.1;
  /// Requests in the window below which nothing is refused: too few say nothing.
  double least_requests = 4;
  /// Largest share that is refused, so that a route without any success keeps testing.
  double largest_refusal = 0.95;
};

/// Refuses requests of one route where they arrive, when services deeper in their call chain refuse
/// the calls that they cause. It answers the load in which a deep service is short: half of the
/// chains that start would otherwise fail at their last call, after all earlier work was done for
/// nothing. The share to refuse follows from the share of admitted requests that failed that way.
/// Not thread-safe.
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

  /// An admitted request ended; `refused` says whether it was refused for load anywhere. Requests
  /// count at their end, so that those in progress do not look like failures while load rises.
  void OnEnd(bool refused);

  /// Share of the requests that is refused now; 0 to `largest_refusal`.
  double RefusalShare() const;

 private:
  void Decay();

  const Clock& clock;
  const Settings settings;
  double requests = 0;
  double served = 0;
  TimePoint decayed_at{};
};

}  // namespace masticpin
