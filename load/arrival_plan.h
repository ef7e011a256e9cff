#pragma once

#include <vector>

#include "load/scenario.h"

namespace masticpin::load {

/// Planned start of one action.
struct Arrival {
  /// Time since the start of the run.
  Duration at{};
  /// Index into the scenario's root kinds.
  std::size_t root = 0;
};

/// Draws Poisson arrivals for all root kinds and sorts them by time. The same scenario and seed
/// give the same arrivals.
std::vector<Arrival> DrawArrivals(const Scenario& scenario);

}  // namespace masticpin::load
