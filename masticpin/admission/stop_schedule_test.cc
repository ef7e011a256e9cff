#include "masticpin/admission/stop_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{seconds(100)};
constexpr TimePoint kExit = kBegin + milliseconds(5700);

TEST(StopScheduleTest, EverythingIsAllowedBeforeTheStop) {
  const StopSchedule schedule;
  EXPECT_FALSE(schedule.IsStopping());
  EXPECT_TRUE(schedule.AcceptsRequest(kBegin, kBegin + seconds(60)));
  EXPECT_TRUE(schedule.AllowsAttempt(kBegin, kBegin + seconds(60)));
  EXPECT_FALSE(schedule.IsExecutionOver(kBegin));
  EXPECT_FALSE(schedule.MustExit(kBegin + seconds(60)));
}

// Guards against requests that are accepted late in a planned stop, run, and lose their answers
// when the process exits. Callers without another node send one request every 10 ms until the exit.
TEST(StopScheduleTest, RequestsThatAreAcceptedLateEndBeforeTheExit) {
  for (const Duration time_limit : {milliseconds(400), milliseconds(1500), milliseconds(6000)}) {
    StopSchedule schedule;
    schedule.Begin(kBegin);
    int accepted_late = 0;
    for (TimePoint now = kBegin; now < kExit; now += milliseconds(10)) {
      ASSERT_FALSE(schedule.MustExit(now));
      if (!schedule.AcceptsRequest(now, now + time_limit)) {
        continue;
      }
      // A request of the first half of the stop has the second half to complete.
      const bool early = now - kBegin <= kExit - now;
      accepted_late += early ? 0 : 1;
      EXPECT_TRUE(early || now + time_limit < kExit);
    }
    EXPECT_TRUE(schedule.MustExit(kExit));
    // Refusing a request that would have been served in time is no better for its caller.
    EXPECT_EQ(accepted_late > 0, time_limit < milliseconds(2500));
  }
}

// Guards against a stop in which callers are refused before they had time to move to another node.
TEST(StopScheduleTest, AllRequestsAreAcceptedUntilCallersNoticeTheStop) {
  StopSchedule schedule;
  schedule.Begin(kBegin);
  for (TimePoint now = kBegin; !schedule.IsMinDurationOver(now); now += milliseconds(10)) {
    EXPECT_TRUE(schedule.AcceptsRequest(now, now + seconds(60)));
  }
}

// Guards against requests of other nodes that a stopping node runs, and that its exit cuts off: the
// callers' own nodes stop at any other time and wait for longer. Requests of each length arrive
// every 10 ms.
TEST(StopScheduleTest, ExecutionsAreAcceptedOnlyIfTheyEndBeforeTheExit) {
  for (const Duration run : {milliseconds(200), milliseconds(2000), milliseconds(4200)}) {
    StopSchedule schedule;
    EXPECT_TRUE(schedule.AcceptsExecution(kBegin, kBegin + seconds(60), std::nullopt));
    schedule.Begin(kBegin);
    int accepted = 0;
    for (TimePoint now = kBegin; now < kExit; now += milliseconds(10)) {
      if (schedule.AcceptsExecution(now, now + seconds(6), run)) {
        ++accepted;
        // The instance may have become slower since its last runs.
        EXPECT_LT(now + 2 * run, kExit);
        EXPECT_FALSE(schedule.IsExecutionOver(now));
      }
    }
    EXPECT_EQ(accepted, run == milliseconds(200) ? 180 : run == milliseconds(2000) ? 151 : 0);
  }
}

// Guards against an order of two stops that cuts off requests: the caller's node and the executing
// node stop at any distance, and callers send requests of all lengths all the time. Runs take up to
// twice as long as those before the stop.
TEST(StopScheduleTest, NoOrderOfTwoStopsCutsRequestsAtTheExecutingNode) {
  constexpr milliseconds kStep{100};
  int accepted = 0;
  for (milliseconds offset{-6000}; offset <= seconds(6); offset += kStep) {
    StopSchedule front;
    StopSchedule executing;
    for (TimePoint now = kBegin - seconds(8); now < kBegin + seconds(12); now += kStep) {
      if (now >= kBegin && !front.IsStopping()) {
        front.Begin(kBegin);
      }
      if (now >= kBegin + offset && !executing.IsStopping()) {
        executing.Begin(kBegin + offset);
      }
      if (front.MustExit(now)) {
        break;
      }
      for (const Duration run : {milliseconds(200), milliseconds(1000), milliseconds(5000)}) {
        for (const Duration time_limit :
             {milliseconds(800), milliseconds(2000), milliseconds(6000)}) {
          const TimePoint deadline = now + time_limit;
          if (!front.AcceptsRequest(now, deadline) ||
              !executing.AcceptsExecution(now, deadline, run)) {
            continue;
          }
          ++accepted;
          const TimePoint end = std::min(now + 2 * run, deadline);
          // Requests that arrive before either node stops are not refused, and may be cut.
          const bool before_stop = now < kBegin + offset;
          EXPECT_TRUE(before_stop || !executing.MustExit(end)) << offset.count();
        }
      }
    }
  }
  EXPECT_GT(accepted, 10000);
}

// Guards against a stopping node that refuses what it can run in any case, or runs what nothing is
// known of.
TEST(StopScheduleTest, ExecutionsWithoutKnownRunTimesAreJudgedByTheirDeadlines) {
  StopSchedule schedule;
  schedule.Begin(kBegin);
  EXPECT_TRUE(schedule.AcceptsExecution(kBegin, kBegin + seconds(5), std::nullopt));
  EXPECT_TRUE(schedule.AcceptsExecution(kBegin, kBegin + seconds(5), seconds(9)));
  EXPECT_FALSE(schedule.AcceptsExecution(kBegin, kBegin + seconds(6), std::nullopt));
}

// Guards against retries and inner calls that the exit cuts off, and against a running request that
// fails because one of its inner calls was refused seconds before the exit.
TEST(StopScheduleTest, AcceptedRequestsGoOnUntilShortlyBeforeTheExit) {
  StopSchedule schedule;
  schedule.Begin(kBegin);
  const TimePoint deadline = kBegin + seconds(7);
  EXPECT_TRUE(schedule.AllowsAttempt(kExit - milliseconds(1000), deadline));
  EXPECT_FALSE(schedule.AllowsAttempt(kExit - milliseconds(990), deadline));
  EXPECT_TRUE(schedule.AllowsAttempt(kExit - milliseconds(300), kExit - milliseconds(200)));
}

}  // namespace
}  // namespace masticpin
