#include "load/arrival_plan.h"

#include <algorithm>
#include <random>

namespace masticpin::load {

std::vector<Arrival> DrawArrivals(const Scenario& scenario) {
  std::vector<Arrival> arrivals;
  for (std::size_t root = 0; root < scenario.roots.size(); ++root) {
    // Each kind has a separate random sequence, so a changed rate does not affect the other kinds.
    std::mt19937_64 engine(scenario.seed * 1000 + root);
    for (std::size_t phase = 0; phase < scenario.phases.size(); ++phase) {
      const double rate = scenario.roots[root].rates[phase];
      if (rate <= 0) {
        continue;
      }
      std::exponential_distribution<double> gap(rate);
      const Duration end = scenario.PhaseBegin(phase + 1);
      Duration at = scenario.PhaseBegin(phase);
      while (true) {
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(engine)));
        if (at >= end) {
          break;
        }
        arrivals.push_back({at, root});
      }
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace masticpin::load
