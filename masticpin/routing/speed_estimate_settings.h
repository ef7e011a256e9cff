#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

struct SpeedEstimateSettings {
  /// Age from which a report counts no more and the instance as one of unknown speed.
  Duration max_age = std::chrono::seconds(5);
  /// Time in which the weight of an instance's older reports of other routes falls to about a third
  /// (1/e) compared with its newest one, so that a change of speed is followed although some routes
  /// are rare.
  Duration fade_time = std::chrono::milliseconds(500);
  /// Samples above this number give a report no more weight, so that the mean work time of a route
  /// is one over instances and not one over requests, most of which the fast instances get.
  double max_weight = 8;
  /// Weight of the assumption that the instance is as fast as the others.
  double prior_weight = 0.5;
  /// Difference from the usual pace up to which an instance counts as usual, as a logarithm: 10 %.
  double tolerance = 0.0953;
  /// Standard deviation of the logarithm of one work time. The tolerance grows by this divided by
  /// the root of the number of samples, so that chance makes no difference. 1.28 is that of
  /// exponentially distributed work times, 0.5 that of typical ones.
  double sample_deviation = 1;
  /// Minimum pause between two updates per instance of the service. An update takes less than 1 us
  /// for each instance, so that updates take below half a percent of a core.
  Duration update_pause = std::chrono::microseconds(250);
  /// Factor between the last announced pace and the current one from which a change is announced,
  /// and the minimum time between two announcements for an instance.
  double announced_factor = 1.5;
  Duration announce_pause = std::chrono::seconds(2);
};

}  // namespace masticpin
