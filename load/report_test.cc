#include "load/report.h"

#include <gtest/gtest.h>

#include "load/arrival_plan.h"
#include "load/key_pool.h"

namespace masticpin::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Scenario MakeScenario() {
  const auto scenario = Scenario::Parse(
      "[scenario]\nseed=3\n[phase warm-up]\nlength_ms=2000\n[phase surge]\nlength_ms=1000\n"
      "speed=dues 0.5\n[phase after]\nlength_ms=2000\n"
      "[root ballot/vote]\nrate_warm-up=100\nrate_surge=300\nrate_after=100\nattempts_bound=9\n"
      "[root almanac/page]\nrate_surge=50\nkey=no\n");
  EXPECT_TRUE(scenario);
  return *scenario;
}

ActionRecord Record(Duration arrived, Outcome outcome, Duration latency = milliseconds(100)) {
  return {.root = 0,
          .arrived = arrived,
          .ended = arrived + latency,
          .sent = true,
          .outcome = outcome,
          .wrong_response = false,
          .keys = {}};
}

TEST(ScenarioTest, ParsesPhasesAndRates) {
  const Scenario scenario = MakeScenario();
  EXPECT_EQ(scenario.Length(), seconds(5));
  EXPECT_EQ(scenario.surge, 1U);
  EXPECT_EQ(scenario.phases[1].speed_factors.at("dues"), 0.5);
  EXPECT_EQ(scenario.roots[0].rates, (std::vector<double>{100, 300, 100}));
  EXPECT_FALSE(scenario.roots[1].use_key);
  EXPECT_FALSE(Scenario::Parse("[scenario]\n"));
}

TEST(ArrivalPlanTest, IsReproducibleOrderedAndNearRate) {
  const Scenario scenario = MakeScenario();
  const std::vector<Arrival> arrivals = DrawArrivals(scenario);
  const std::vector<Arrival> again = DrawArrivals(scenario);
  ASSERT_EQ(arrivals.size(), again.size());
  std::size_t pages = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    EXPECT_EQ(arrivals[i].at, again[i].at);
    EXPECT_TRUE(i == 0 || arrivals[i - 1].at <= arrivals[i].at);
    if (arrivals[i].root == 1) {
      ++pages;
      EXPECT_GE(arrivals[i].at, seconds(2));
      EXPECT_LT(arrivals[i].at, seconds(3));
    }
  }
  // 700 votes are expected. The seed is fixed, so the test does not depend on chance.
  EXPECT_NEAR(static_cast<double>(arrivals.size() - pages), 700, 100);
}

TEST(KeyPoolTest, SkipsKeysWithShortLifetime) {
  KeyPool pool;
  const TimePoint now{};
  pool.Add("long; life=60", now);
  pool.Add("short; life=5", now);
  pool.Add("malformed", now);
  EXPECT_EQ(pool.Take(now), "long");
  EXPECT_EQ(pool.Take(now), "");
}

// Guards against overlooked double runs: the runs of one action may be spread over several
// instances and keys, so only their sum shows that it ran twice.
TEST(ReportTest, CountsRunsOverInstancesAndKeys) {
  const Scenario scenario = MakeScenario();
  RunTable runs;
  ASSERT_TRUE(runs.Add("k1 ballot/vote 1 1 1\nk1 dues/standing 3 3 0\n"));
  ASSERT_TRUE(runs.Add("k2 ballot/vote 1 1 1\nk3 ballot/vote 1 1 1\n"));
  EXPECT_FALSE(runs.Add("malformed\n"));
  std::vector<ActionRecord> records;
  records.push_back(Record(seconds(1), Outcome::kComplete));
  records.back().keys = {{"k1", Outcome::kNotRun}, {"k2", Outcome::kComplete}};
  records.push_back(Record(seconds(1), Outcome::kComplete));
  records.back().keys = {{"k3", Outcome::kComplete}};
  const KindReport report = Report(scenario, records, runs).Evaluate(0);
  EXPECT_EQ(report.run_twice, 1U);
  EXPECT_EQ(report.not_run_but_run, 1U);
  EXPECT_EQ(report.max_attempts, 5U);
  EXPECT_EQ(report.attempts_bound, 9U);
}

// Guards against false violations: an idempotent inner call that ran before a refusal has no
// effect.
TEST(ReportTest, ReadOnlyCallBeforeRefusalIsNotRun) {
  const Scenario scenario = MakeScenario();
  RunTable runs;
  ASSERT_TRUE(runs.Add("k1 ballot/vote 1 0 1\nk1 dues/standing 1 1 0\n"));
  std::vector<ActionRecord> records = {Record(seconds(1), Outcome::kNotRun)};
  records.back().keys = {{"k1", Outcome::kNotRun}};
  EXPECT_EQ(Report(scenario, records, runs).Evaluate(0).not_run_but_run, 0U);
}

TEST(ReportTest, CountsOutcomesAndGoodput) {
  const Scenario scenario = MakeScenario();
  const RunTable runs;
  std::vector<ActionRecord> records = {
      Record(milliseconds(100), Outcome::kComplete), Record(milliseconds(200), Outcome::kComplete),
      // Ends in the next phase.
      Record(milliseconds(1950), Outcome::kComplete), Record(seconds(4), Outcome::kUnknown),
      Record(seconds(4), Outcome::kNotRun)};
  records.push_back(Record(seconds(4), Outcome::kUnknown));
  records.back().sent = false;
  const KindReport report = Report(scenario, records, runs).Evaluate(0);
  EXPECT_EQ(report.offered, 5U);
  EXPECT_EQ(report.not_sent, 1U);
  EXPECT_EQ(report.complete, 3U);
  EXPECT_EQ(report.outcome_unknown, 1U);
  EXPECT_EQ(report.refused_not_run, 1U);
  EXPECT_DOUBLE_EQ(report.goodput[0], 1.0);
  EXPECT_DOUBLE_EQ(report.goodput[1], 1.0);
  EXPECT_EQ(report.p50, milliseconds(100));
}

class RecoveryTest : public testing::Test {
 protected:
  // Evaluates one action in each window: those that arrive from `from` to before `to` have the
  // given outcome and latency, all others complete in time.
  std::optional<Duration> Recovery(Duration from, Duration to, Outcome outcome, Duration latency) {
    std::vector<ActionRecord> records;
    for (Duration at{}; at < this->scenario.Length(); at += this->scenario.window) {
      const bool changed = at >= from && at < to;
      records.push_back(changed ? Record(at, outcome, latency) : Record(at, Outcome::kComplete));
    }
    const RunTable runs;
    return Report(this->scenario, records, runs).Evaluate(0).recovery;
  }

  const Scenario scenario = MakeScenario();
};

TEST_F(RecoveryTest, IsZeroWithoutChange) {
  EXPECT_EQ(this->Recovery({}, {}, Outcome::kComplete, {}), Duration::zero());
}

TEST_F(RecoveryTest, EndsWithLastBadWindow) {
  EXPECT_EQ(this->Recovery(seconds(2), milliseconds(3600), Outcome::kNotRun, milliseconds(100)),
            milliseconds(750));
  EXPECT_EQ(this->Recovery(seconds(2), milliseconds(3600), Outcome::kComplete, milliseconds(111)),
            milliseconds(750));
  EXPECT_EQ(this->Recovery(seconds(2), milliseconds(3600), Outcome::kComplete, milliseconds(109)),
            Duration::zero());
}

// Guards against an overloaded site that counts as recovered at once, because no request could be
// sent and the windows were empty.
TEST_F(RecoveryTest, UnsentArrivalsAreNotRecovered) {
  std::vector<ActionRecord> records;
  for (Duration at{}; at < this->scenario.Length(); at += this->scenario.window) {
    records.push_back(Record(at, Outcome::kComplete));
    records.back().sent = at < seconds(2) || at >= milliseconds(3600);
  }
  const RunTable runs;
  EXPECT_EQ(Report(this->scenario, records, runs).Evaluate(0).recovery, milliseconds(750));
}

TEST_F(RecoveryTest, IsNothingIfNeverRecovered) {
  EXPECT_FALSE(this->Recovery(seconds(2), seconds(9), Outcome::kNotRun, milliseconds(100)));
}

}  // namespace
}  // namespace masticpin::load
