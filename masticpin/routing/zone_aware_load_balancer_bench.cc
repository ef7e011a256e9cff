#include "masticpin/routing/zone_aware_load_balancer.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

enum Speeds : std::int64_t { kNotLearned, kEqual, kUneven };

// One decision of a caller's node, with the reports of the reply. The clock advances by 20 us a
// decision, so that updates of the estimate are included at 50,000 decisions per second.
void ChooseInstance(benchmark::State& state) {
  FakeClock clock;
  SeededRandom random(1);
  ZoneAwareLoadBalancerSettings settings;
  settings.learn_speed = state.range(1) != kNotLearned;
  ZoneAwareLoadBalancer balancer("z0", clock, random, settings);
  std::vector<std::string> names;
  std::vector<Duration> work;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    UpstreamInstance instance;
    instance.name = "server-" + std::to_string(i);
    instance.service = "ballot";
    instance.zone = "z" + std::to_string(i % 3);
    instance.slots = 64;
    balancer.OnInstanceUpdated(instance);
    names.push_back(instance.name);
    work.push_back(std::chrono::milliseconds(state.range(1) == kUneven && i % 5 == 0 ? 60 : 20));
  }
  const auto report = [&](std::size_t i) {
    balancer.OnLoad(names[i], LoadReport{60, 30, 0, 0, 0});
    balancer.OnWorkTime(names[i], 1, {work[i], 100, Duration::zero()});
  };
  for (std::size_t i = 0; i < names.size(); ++i) {
    report(i);
  }
  clock.Jump(std::chrono::seconds(1));
  std::size_t next = 0;
  for (auto _ : state) {
    const std::string_view chosen = balancer.Choose("ballot", {});
    benchmark::DoNotOptimize(chosen);
    clock.Jump(std::chrono::microseconds(20));
    next = (next + 1) % names.size();
    report(next);
  }
}
BENCHMARK(ChooseInstance)->ArgsProduct({{10, 60, 100, 1000}, {kNotLearned, kEqual, kUneven}});

}  // namespace
}  // namespace masticpin
