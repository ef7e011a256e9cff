#pragma once

#include <array>
#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// What a node knows of the speed of one instance. Owned by the instance's candidate, written by
/// SpeedEstimate.
struct SpeedRecord {
  struct RouteReport {
    std::uint32_t route = 0;
    float log_work = 0;
    float samples = 0;
    TimePoint measured_at{};
  };

  /// Routes for which a report is kept; the oldest report is replaced first.
  static constexpr std::size_t kMaxRoutes = 8;

  std::array<RouteReport, kMaxRoutes> reports{};
  /// Time of the latest measurement that was reported.
  TimePoint measured_at{};
  /// Logarithm of the work time compared with that of other instances; kept from one update to the
  /// next.
  double log_pace = 0;
  /// Work time compared with the usual one of the service: 2 is half of the usual speed. 1 within
  /// the tolerance, or if unknown.
  double pace = 1;
  /// Whether `pace` was measured.
  bool known = false;

  double announced_pace = 1;
  TimePoint announced_at{};
};

}  // namespace masticpin
