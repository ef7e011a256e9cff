#include <gtest/gtest.h>

#include <tuple>

#include "masticpin/testing/overload_simulation.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint8_t kImportant = 9;

std::vector<TrafficShare> FewImportant() {
  return {{kImportant, 0.1}, {5, 0.3}, {0, 0.6}};
}

std::vector<TrafficShare> HalfImportant() {
  return {{kImportant, 0.5}, {0, 0.5}};
}

/// Goodput as a share of the maximum possible.
struct Goodput {
  double total;
  double important;
};

Goodput MeasureGoodput(const SimulationSettings& settings,
                       double load,
                       const std::vector<TrafficShare>& shares) {
  constexpr seconds kTime{30};
  OverloadSimulation simulation(settings);
  const TimePoint from = simulation.Now();
  simulation.Run({kTime, load, shares});
  const TimePoint to = simulation.Now();
  const double capacity = simulation.Capacity() * kTime.count();
  const double important = std::min(capacity, simulation.Offered(from, to, kImportant));
  EXPECT_LE(simulation.MaxJobCount(), settings.slots);
  if (!settings.naive) {
    EXPECT_EQ(simulation.Inversions(), 0U);
  }
  return {simulation.Answered(from, to) / capacity,
          simulation.Answered(from, to, kImportant) / important};
}

struct OverloadCase {
  const char* name;
  bool half_important;
  bool follows_retry_after;
  bool exponential;
};

class OverloadTest : public testing::TestWithParam<OverloadCase> {};

// Guards against goodput that falls as callers retry more, and against important requests that are
// refused together with the others. The naive version shows that this load is enough to cause a
// collapse.
TEST_P(OverloadTest, KeepsGoodputWhereTheNaiveVersionCollapses) {
  const std::vector<TrafficShare> shares =
      GetParam().half_important ? HalfImportant() : FewImportant();
  SimulationSettings settings;
  settings.follows_retry_after = GetParam().follows_retry_after;
  settings.exponential = GetParam().exponential;
  double at_two = 0;
  for (const double load : {1.2, 2.0, 5.0, 10.0}) {
    SCOPED_TRACE(testing::Message() << "load " << load << ", seed " << settings.seed);
    settings.naive = false;
    const Goodput ours = MeasureGoodput(settings, load, shares);
    EXPECT_GE(ours.important, 0.95);
    EXPECT_GE(ours.total, 0.90);
    if (load == 2.0) {
      at_two = ours.total;
    } else if (load > 2.0) {
      EXPECT_GE(ours.total, at_two - 0.05);
    }

    settings.naive = true;
    const Goodput naive = MeasureGoodput(settings, load, shares);
    EXPECT_LT(naive.total, 0.5);
    EXPECT_LT(naive.important, 0.5);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Traffic,
    OverloadTest,
    testing::Values(OverloadCase{"FewImportant", false, false, false},
                    OverloadCase{"HalfImportant", true, false, false},
                    OverloadCase{"CallersThatFollowRetryAfter", false, true, false},
                    OverloadCase{"ExponentialServiceTimes", true, false, true}),
    [](const auto& test) { return test.param.name; });

class InversionTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against the refusal of an important request although less important ones were admitted
// just before: when the burst starts, they hold all slots.
TEST_P(InversionTest, NoneInABurstOfOnlyImportantRequestsAfterAQuietTime) {
  for (const std::uint32_t slots : {1U, 10U, 60U}) {
    SimulationSettings settings;
    settings.seed = GetParam();
    settings.slots = slots;
    settings.retries = 2;
    OverloadSimulation simulation(settings);
    simulation.Run({seconds(2), 0.9, {{0, 0.5}, {3, 0.5}}});
    simulation.Run({seconds(1), 10, {{kImportant, 1}}});
    simulation.Run({seconds(1), 0.9, {{0, 0.5}, {3, 0.5}}});
    EXPECT_EQ(simulation.Inversions(), 0U) << "slots " << slots;
    EXPECT_GT(simulation.Controller()->Statistics().refused_overloaded, 0U);
  }
}

// Guards against inversions in random sequences of bursts with all importances and different
// upstream speeds.
TEST_P(InversionTest, NoneInRandomBursts) {
  SeededRandom random(GetParam());
  SimulationSettings settings;
  settings.seed = GetParam();
  settings.slots = static_cast<std::uint32_t>(1 + random.NextBelow(20));
  settings.retries = 3;
  OverloadSimulation simulation(settings);
  for (int phase = 0; phase < 10; ++phase) {
    std::vector<TrafficShare> shares;
    const std::uint64_t kinds = 1 + random.NextBelow(4);
    for (std::uint64_t kind = 0; kind < kinds; ++kind) {
      shares.push_back({static_cast<std::uint8_t>(random.NextBelow(kMaxImportance + 1)),
                        1.0 / static_cast<double>(kinds)});
    }
    const double load = 0.1 * static_cast<double>(1 + random.NextBelow(100));
    const int slowdown = random.NextBelow(4) == 0 ? 5 : 1;
    simulation.Run({milliseconds(50 + random.NextBelow(400)), load, shares, slowdown});
  }
  EXPECT_EQ(simulation.Inversions(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, InversionTest, testing::Range<std::uint64_t>(1, 41));

struct RecoveryCase {
  const char* name;
  double load;
  int slowdown;
};

class RecoveryTest : public testing::TestWithParam<std::tuple<RecoveryCase, std::uint64_t>> {
 protected:
  struct Level {
    double goodput;
    double p99;
  };

  /// Goodput and latency in the 5 s before a surge and in the 5 s that start 2 s after it.
  static std::pair<Level, Level> Measure(bool naive) {
    const auto& [surge, seed] = GetParam();
    constexpr double kUsualLoad = 0.5;
    constexpr seconds kWindow{5};
    SimulationSettings settings;
    settings.seed = seed;
    settings.slots = 30;
    settings.naive = naive;
    settings.naive_capacity = 6000;
    OverloadSimulation simulation(settings);
    const auto measure = [&](TimePoint from) {
      return Level{simulation.Answered(from, from + kWindow), simulation.P99(from, from + kWindow)};
    };
    simulation.Run({seconds(2), kUsualLoad, FewImportant()});
    const TimePoint before = simulation.Now();
    simulation.Run({kWindow, kUsualLoad, FewImportant()});
    simulation.Run({seconds(20), surge.load, FewImportant(), surge.slowdown});
    const TimePoint after = simulation.Now() + seconds(2);
    // Leaves time for the responses to the last actions of the window.
    simulation.Run({seconds(8), kUsualLoad, FewImportant()});
    return {measure(before), measure(after)};
  }
};

// Guards against overload that persists after its cause has ended (a metastable state), which the
// naive version shows.
TEST_P(RecoveryTest, RecoversWithinTwoSecondsOfTheSurge) {
  const auto [before, after] = Measure(false);
  EXPECT_GE(after.goodput, before.goodput * 0.9);
  EXPECT_LE(after.goodput, before.goodput * 1.1);
  EXPECT_LE(after.p99, before.p99 * 1.1);

  const auto [naive_before, naive_after] = Measure(true);
  EXPECT_GE(naive_before.goodput, before.goodput * 0.9);
  EXPECT_LT(naive_after.goodput, naive_before.goodput * 0.1);
}

INSTANTIATE_TEST_SUITE_P(
    Surges,
    RecoveryTest,
    testing::Combine(testing::Values(RecoveryCase{"FiveTimesTheCapacity", 5, 1},
                                     RecoveryCase{"OneFifthOfTheSpeed", 0.5, 5},
                                     RecoveryCase{"Both", 2, 5}),
                     testing::Values<std::uint64_t>(1, 2, 3)),
    [](const auto& test) {
      return std::get<0>(test.param).name + std::to_string(std::get<1>(test.param));
    });

struct CeilingCase {
  const char* name;
  std::uint32_t ceiling;
  bool exponential;
};

class CeilingTest : public testing::TestWithParam<CeilingCase> {};

// Guards against a limit that follows the load above the ceiling, and against one that stays far
// above or below the real capacity: the ceiling is 60, 10 or 1, the upstream has 20 slots.
TEST_P(CeilingTest, IsNeverExceeded) {
  SimulationSettings settings;
  settings.ceiling = GetParam().ceiling;
  settings.exponential = GetParam().exponential;
  settings.slots = 20;
  OverloadSimulation simulation(settings);
  for (int phase = 0; phase < 6; ++phase) {
    simulation.Run({seconds(3), phase % 2 == 0 ? 3.0 : 0.3, FewImportant(), phase == 3 ? 5 : 1});
    EXPECT_LE(simulation.MaxJobCount(), GetParam().ceiling);
  }
  const TimePoint from = simulation.Now();
  simulation.Run({seconds(5), 3, FewImportant()});
  const double usable = std::min(1.0, GetParam().ceiling / 20.0);
  EXPECT_GE(simulation.Answered(from, simulation.Now()), 0.9 * usable * 5 * simulation.Capacity());
}

INSTANTIATE_TEST_SUITE_P(Ceilings,
                         CeilingTest,
                         testing::Values(CeilingCase{"TooHigh", 60, false},
                                         CeilingCase{"TooHighExponential", 60, true},
                                         CeilingCase{"TooLow", 10, false},
                                         CeilingCase{"One", 1, false}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace masticpin
