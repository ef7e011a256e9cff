#pragma once

#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Recent work time of one route at one instance, as measured by the node beside the instance.
struct WorkTimeReport {
  /// Geometric mean of the work times.
  Duration work{};
  /// Number of measurements that the mean stands for; 0 if there is no data.
  std::uint32_t samples = 0;
  /// Time since the last measurement.
  Duration age{};
};

}  // namespace masticpin
