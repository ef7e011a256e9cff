#pragma once

#include <cstddef>
#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

struct WorkTimeEstimatorSettings {
  /// Time in which the weight of a measurement falls to about a third (1/e). Servers become several
  /// times slower for seconds, which must be followed within 2 s, and are noisy for 0.6 s.
  Duration decay_time = std::chrono::milliseconds(500);
  /// Age from which a mean is not reported any more.
  Duration max_age = std::chrono::seconds(5);
  /// Shorter work times count as this one: below it, delays of the node itself exceed the
  /// difference between servers.
  Duration min_work = std::chrono::microseconds(100);
  /// Maximum number of routes that are remembered; the one that was measured longest ago is
  /// forgotten first.
  std::size_t max_routes = 256;
  /// Largest number of samples in a report: the largest that takes one byte on the wire.
  std::uint32_t max_samples = 127;
};

}  // namespace masticpin
