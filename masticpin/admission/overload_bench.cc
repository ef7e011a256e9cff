#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "masticpin/testing/overload_simulation.h"

// Simulations on a fake clock: the counters are the results, the measured times have no meaning.
// Figures and conclusions: docs/measurements/admission.md.

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint8_t kImportant = 9;
constexpr int kSeeds = 5;

struct Scenario {
  std::string name;
  SimulationSettings settings;
  TrafficPhase before;
  TrafficPhase surge;
  TrafficPhase after;
  /// Whether to measure the recovery, which is the period from 2 s to 7 s after the surge.
  bool recovery = false;
};

std::vector<TrafficShare> FewImportant() {
  return {{kImportant, 0.1}, {5, 0.3}, {0, 0.6}};
}

/// Runs one scenario with several seeds and reports the mean values.
void RunScenario(benchmark::State& state, Scenario scenario) {
  double total = 0;
  double important = 0;
  double p99_important = 0;
  double cancelled = 0;
  double inversions = 0;
  double recovered_goodput = 0;
  double recovered_p99 = 0;
  for (auto _ : state) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      scenario.settings.seed = static_cast<std::uint64_t>(seed);
      OverloadSimulation simulation(scenario.settings);
      simulation.Run(scenario.before);
      const TimePoint from = simulation.Now();
      simulation.Run(scenario.surge);
      const TimePoint to = simulation.Now();
      simulation.Run(scenario.after);
      const double length = std::chrono::duration<double>(to - from).count();
      const double capacity = simulation.Capacity() * length / scenario.surge.slowdown;
      const double offered = simulation.Offered(from, to, kImportant);
      total += simulation.Answered(from, to) / capacity / kSeeds;
      // Responses to important actions of the surge may arrive shortly after it.
      important +=
          simulation.AnsweredOfArrived(from, to, kImportant) / std::min(offered, capacity) / kSeeds;
      p99_important += simulation.P99(from, to, kImportant) / kSeeds;
      cancelled += static_cast<double>(simulation.Cancelled()) / kSeeds;
      inversions += static_cast<double>(simulation.Inversions()) / kSeeds;
      if (scenario.recovery) {
        const seconds window{5};
        recovered_goodput += simulation.Answered(to + seconds(2), to + seconds(7)) /
                             simulation.Answered(from - window, from) / kSeeds;
        recovered_p99 += simulation.P99(to + seconds(2), to + seconds(7)) /
                         simulation.P99(from - window, from) / kSeeds;
      }
    }
  }
  state.counters["total"] = total;
  state.counters["important"] = important;
  state.counters["p99_important_ms"] = p99_important;
  state.counters["inversions"] = inversions;
  if (scenario.settings.cancel_running) {
    state.counters["cancelled"] = cancelled;
  }
  if (scenario.recovery) {
    state.counters["recovered_goodput"] = recovered_goodput;
    state.counters["recovered_p99"] = recovered_p99;
  }
}

void Register(const Scenario& scenario) {
  benchmark::RegisterBenchmark(scenario.name.c_str(), RunScenario, scenario)
      ->Iterations(1)
      ->Unit(benchmark::kMillisecond);
}

/// Load above the capacity for 30 s.
void RegisterOverload() {
  for (const bool naive : {false, true}) {
    for (const double load : {1.2, 2.0, 5.0, 10.0}) {
      Scenario scenario;
      scenario.name = std::string("Simulation/Overload/") + (naive ? "naive/" : "masticpin/") +
                      std::to_string(static_cast<int>(load * 10)) + "_tenths";
      scenario.settings.naive = naive;
      scenario.surge = {seconds(30), load, FewImportant()};
      Register(scenario);
    }
  }
}

/// A surge of 20 s. Goodput and latency from 2 s to 7 s after it are compared with the 5 s before
/// it.
void RegisterRecovery() {
  for (const bool naive : {false, true}) {
    for (const int usual : {5, 7, 8}) {
      for (const int slowdown : {1, 5}) {
        const double load = usual / 10.0;
        Scenario scenario;
        scenario.name = std::string("Simulation/Recovery/") + (naive ? "naive/" : "masticpin/") +
                        (slowdown == 1 ? "surge_of_5/" : "one_fifth_speed/") +
                        std::to_string(usual) + "_tenths";
        scenario.settings.naive = naive;
        scenario.settings.slots = 30;
        scenario.settings.naive_capacity = 6000;
        scenario.before = {seconds(7), load, FewImportant()};
        scenario.surge = {seconds(20), slowdown == 1 ? 5 : load, FewImportant(), slowdown};
        scenario.after = {seconds(9), load, FewImportant()};
        scenario.recovery = true;
        Register(scenario);
      }
    }
  }
}

/// Cancels running requests of importance 0 in favor of more important ones.
void RegisterCancellation() {
  struct Case {
    const char* name;
    Duration service_time;
    TrafficPhase before;
    TrafficPhase surge;
  };
  const std::vector<TrafficShare> only_low{{0, 1}};
  const std::vector<TrafficShare> half{{kImportant, 0.5}, {0, 0.5}};
  const std::vector<Case> cases = {
      {"20ms/load_2",
       milliseconds(20),
       {seconds(2), 0.9, only_low},
       {seconds(20), 2, FewImportant()}},
      {"20ms/load_2_half", milliseconds(20), {seconds(2), 0.9, only_low}, {seconds(20), 2, half}},
      {"20ms/burst", milliseconds(20), {seconds(2), 0.9, only_low}, {seconds(1), 10, {{9, 1}}}},
      {"20ms/one_fifth",
       milliseconds(20),
       {seconds(2), 0.9, only_low},
       {seconds(20), 0.5, FewImportant(), 5}},
      {"500ms/load_2",
       milliseconds(500),
       {seconds(5), 0.9, only_low},
       {seconds(60), 2, FewImportant()}},
      {"500ms/load_2_half", milliseconds(500), {seconds(5), 0.9, only_low}, {seconds(60), 2, half}},
      {"500ms/burst", milliseconds(500), {seconds(5), 2, only_low}, {seconds(2), 2, {{9, 1}}}},
      {"500ms/one_fifth",
       milliseconds(500),
       {seconds(5), 0.9, only_low},
       {seconds(60), 0.5, FewImportant(), 5}},
  };
  struct Variant {
    const char* name;
    bool cancel;
    Duration wait;
  };
  const std::vector<Variant> variants = {{"none", false, milliseconds(100)},
                                         {"cancel", true, milliseconds(100)},
                                         {"wait_500ms", false, milliseconds(500)},
                                         {"wait_1s", false, milliseconds(1000)}};
  for (const Case& one : cases) {
    for (const Variant& variant : variants) {
      Scenario scenario;
      scenario.name = std::string("Simulation/Cancellation/") + one.name + "/" + variant.name;
      scenario.settings.service_time = one.service_time;
      scenario.settings.timeout = std::max<Duration>(25 * one.service_time, milliseconds(500));
      scenario.settings.cancel_running = variant.cancel;
      scenario.settings.admission.queue_wait_bound = variant.wait;
      scenario.before = one.before;
      scenario.surge = one.surge;
      scenario.after = {seconds(10), 0, {}};
      Register(scenario);
    }
  }
}

const bool kRegistered = [] {
  RegisterOverload();
  RegisterRecovery();
  RegisterCancellation();
  return true;
}();

}  // namespace
}  // namespace masticpin
