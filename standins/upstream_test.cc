#include "standins/upstream.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin::standins {
namespace {

/// Records inner calls and returns predefined outcomes.
class FakeInnerCaller : public InnerCaller {
 public:
  InnerOutcome Call(const InnerCall& call) override {
    this->calls.push_back(call);
    const auto found = this->outcomes.find(call.target);
    return found == this->outcomes.end() ? InnerOutcome::kReadOnly : found->second;
  }

  std::map<std::string, InnerOutcome> outcomes;
  std::vector<InnerCall> calls;
};

/// Caller that disconnects at a given time. Waiting advances the clock.
class FakeCallerWatch : public CallerWatch {
 public:
  explicit FakeCallerWatch(FakeClock& clock) : clock(clock) {}

  bool WaitForClose(Duration time) override {
    this->clock.Advance(time);
    return this->clock.Now() >= this->disconnects_at;
  }

  FakeClock& clock;
  TimePoint disconnects_at = TimePoint::max();
};

class UpstreamTest : public testing::Test {
 protected:
  static UpstreamSettings MakeSettings() {
    const auto settings = UpstreamSettings::Parse(
        "[upstream]\nname=ballot-1\nservice=ballot\naddress=127.0.0.1:0\nslots=2\nqueue=0\n"
        "[kind vote]\nservice_ms=100\ncalls=dues/standing, archive/receipt\n"
        "[kind twice]\nservice_ms=10\ncalls=dues/standing, dues/standing\n"
        "[kind result]\nservice_ms=10\nidempotent=yes\n");
    EXPECT_TRUE(settings);
    return *settings;
  }

  UpstreamResponse Handle(const std::string& kind, Duration time_left = std::chrono::seconds(2)) {
    return this->upstream.Handle({.path = "/ballot/" + kind,
                                  .kind = kind,
                                  .action = "key-1",
                                  .context = "context-1",
                                  .step = "",
                                  .traceparent = "",
                                  .time_left = time_left},
                                 this->caller);
  }

  std::uint64_t Runs(const std::string& kind) {
    return this->upstream.Runs().Find("key-1")["ballot/" + kind].runs;
  }

  FakeClock clock;
  SeededRandom random{1};
  FakeInnerCaller inner_caller;
  FakeCallerWatch caller{clock};
  Upstream upstream{MakeSettings(), clock, random, inner_caller};
};

TEST_F(UpstreamTest, CompletesAndCountsRun) {
  const UpstreamResponse response = this->Handle("vote");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.outcome, "");
  const auto body = nlohmann::json::parse(response.body);
  EXPECT_EQ(body["action"], "key-1");
  EXPECT_EQ(body["kind"], "ballot/vote");
  EXPECT_EQ(body["commits"], true);
  EXPECT_EQ(this->Runs("vote"), 1U);
  ASSERT_EQ(this->inner_caller.calls.size(), 2U);
  EXPECT_EQ(this->inner_caller.calls[0].context, "context-1");
}

// Guards against an unknown outcome if an inner call is refused and none has committed: nothing has
// changed, so the caller may safely retry the action.
TEST_F(UpstreamTest, RefusedInnerCallIsNotRun) {
  this->inner_caller.outcomes["archive/receipt"] = InnerOutcome::kNotRun;
  const UpstreamResponse response = this->Handle("vote");
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.outcome, "not-run");
  EXPECT_EQ(this->Runs("vote"), 0U);
}

// Guards against double runs: if "not run" were reported after an inner call committed, a retry of
// the caller would run that call again.
TEST_F(UpstreamTest, RefusalAfterCommitIsUnknown) {
  this->inner_caller.outcomes["dues/standing"] = InnerOutcome::kCommitted;
  this->inner_caller.outcomes["archive/receipt"] = InnerOutcome::kNotRun;
  const UpstreamResponse response = this->Handle("vote");
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.outcome, "unknown");
  EXPECT_EQ(this->Runs("vote"), 0U);
}

TEST_F(UpstreamTest, UnknownInnerCallIsUnknown) {
  this->inner_caller.outcomes["dues/standing"] = InnerOutcome::kUnknown;
  EXPECT_EQ(this->Handle("vote").outcome, "unknown");
  EXPECT_EQ(this->inner_caller.calls.size(), 1U);
}

// Guards against lost inner calls: without a step the node would take the second call for a retry
// of the first and would not run it.
TEST_F(UpstreamTest, SecondInnerCallOfSameKindHasStep) {
  EXPECT_EQ(this->Handle("twice").status, 200);
  ASSERT_EQ(this->inner_caller.calls.size(), 2U);
  EXPECT_EQ(this->inner_caller.calls[0].step, "");
  EXPECT_EQ(this->inner_caller.calls[1].step, "1");
}

TEST_F(UpstreamTest, ClosedConnectionStopsWorkBeforeCommit) {
  this->caller.disconnects_at = this->clock.Now() + std::chrono::milliseconds(50);
  EXPECT_EQ(this->Handle("vote").outcome, "not-run");
  EXPECT_EQ(this->Runs("vote"), 0U);
}

TEST_F(UpstreamTest, DeadlineStopsWorkBeforeCommit) {
  const UpstreamResponse response = this->Handle("vote", std::chrono::milliseconds(99));
  EXPECT_EQ(response.status, 504);
  EXPECT_EQ(response.outcome, "not-run");
  EXPECT_EQ(this->Runs("vote"), 0U);
}

TEST_F(UpstreamTest, SpeedFactorScalesServiceTime) {
  this->upstream.SetSpeedFactor(0.2);
  const TimePoint before = this->clock.Now();
  EXPECT_EQ(this->Handle("vote").status, 200);
  EXPECT_EQ(this->clock.Now() - before, std::chrono::milliseconds(500));
}

TEST_F(UpstreamTest, DrainingAndSheddingRefuse) {
  this->upstream.SetDraining(true);
  EXPECT_EQ(this->Handle("vote").outcome, "not-run");
  this->upstream.SetDraining(false);
  this->upstream.SetShedding(true);
  EXPECT_EQ(this->Handle("vote").outcome, "not-run");
  EXPECT_EQ(this->Runs("vote"), 0U);
}

TEST_F(UpstreamTest, ReportedLoadLags) {
  EXPECT_EQ(this->Handle("vote").status, 200);
  EXPECT_EQ(this->upstream.ReportedLoad().busy, 0U);
  this->clock.Advance(std::chrono::milliseconds(1950));
  EXPECT_EQ(this->upstream.ReportedLoad().busy, 1U);
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->upstream.ReportedLoad().busy, 0U);
}

TEST(WorkSlotsTest, ShedsBeyondQueueAndExpires) {
  const auto not_cancelled = [] { return false; };
  WorkSlots slots(1, 1);
  ASSERT_EQ(slots.Acquire(TimePoint::max(), not_cancelled), WorkSlots::Result::kAcquired);
  EXPECT_EQ(slots.Acquire(TimePoint::min(), not_cancelled), WorkSlots::Result::kExpired);
  EXPECT_EQ(slots.Acquire(TimePoint::max(), [] { return true; }), WorkSlots::Result::kCancelled);
  // Expired and cancelled requests must have released their queue entries.
  EXPECT_EQ(slots.Waiting(), 0U);
  slots.Release();
  EXPECT_EQ(slots.Busy(), 0U);
  WorkSlots without_queue(0, 0);
  EXPECT_EQ(without_queue.Acquire(TimePoint::max(), not_cancelled), WorkSlots::Result::kShed);
}

}  // namespace
}  // namespace masticpin::standins
