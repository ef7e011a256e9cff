#include "masticpin/attempts/instance_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against retries that multiply: 13 nodes that retry whenever they may, under a load that
// alternates, must keep the retries in any window within the service's retry budget. The budget
// counts the requests of the current window, of the one before it or of the one half a window
// earlier, whichever has the most.
TEST(InstanceRetryBudgetTest, NodesTogetherKeepTheSharedBudget) {
  constexpr std::size_t kNodes = 13;
  constexpr int kSteps = 9000;
  constexpr Duration kStep = milliseconds(10);
  FakeClock clock;
  SeededRandom random(7);
  const InstanceRetryBudgetSettings settings;
  std::vector<InstanceRetryBudget> nodes(kNodes, InstanceRetryBudget(clock, settings));
  // Cumulative sums over all steps before the index.
  std::vector<int> requests(kSteps + 1);
  std::vector<int> retries(kSteps + 1);
  for (int step = 0; step < kSteps; ++step) {
    clock.Advance(kStep);
    const bool busy = (step / 700) % 2 == 0;
    requests[step + 1] = requests[step];
    retries[step + 1] = retries[step];
    for (InstanceRetryBudget& node : nodes) {
      if (busy && random.NextBelow(2) == 0) {
        node.OnRequest();
        ++requests[step + 1];
      }
      for (int i = 0; i < 3; ++i) {
        retries[step + 1] += node.TryRetry(1, kNodes, true) ? 1 : 0;
      }
    }
  }
  const int width = static_cast<int>(settings.window / kStep);
  const auto sum = [](const std::vector<int>& sums, int from, int to) {
    return sums[std::max(to, 0)] - sums[std::max(from, 0)];
  };
  for (int end = width; end <= kSteps; ++end) {
    const int begin = end - width;
    const int counted = std::max({sum(requests, begin, end), sum(requests, begin - width, begin),
                                  sum(requests, begin - width / 2, end - width / 2)});
    ASSERT_LE(sum(retries, begin, end), settings.ratio * counted + settings.slack) << end;
  }
  EXPECT_GT(retries[kSteps], 1000);
}

// Guards against less important requests that use up the retries of the most important ones.
TEST(InstanceRetryBudgetTest, ShareIsReservedForImportantRequests) {
  FakeClock clock;
  InstanceRetryBudget retry_budget(clock, {});
  for (int i = 0; i < 1000; ++i) {
    retry_budget.OnRequest();
  }
  int less_important = 0;
  while (retry_budget.TryRetry(1, 13, false)) {
    ++less_important;
  }
  int important = 0;
  while (retry_budget.TryRetry(1, 13, true)) {
    ++important;
  }
  EXPECT_GT(less_important, 50);
  EXPECT_GT(important, less_important);
}

// Guards against inner calls that use up the budget before requests of callers get their share:
// when all instances refused half of their requests, call chains of ten inner calls took all
// retries within two seconds, and every second request of a caller failed until the refusals ended.
TEST(InstanceRetryBudgetTest, InnerCallsLeaveRetriesForCallerRequests) {
  FakeClock clock;
  InstanceRetryBudget retry_budget(clock, {});
  for (int i = 0; i < 1000; ++i) {
    retry_budget.OnRequest();
  }
  constexpr double kMaxRank = 1;
  int calls = 0;
  while (retry_budget.TryRetry(1, 13, true, kMaxRank)) {
    ++calls;
  }
  int requests = 0;
  while (retry_budget.TryRetry(1, 13, true)) {
    ++requests;
  }
  EXPECT_GT(calls, 100);
  EXPECT_GT(requests, 30);
}

// Guards against nodes that each use the whole constant `slack` while the number of instances is
// unknown.
TEST(InstanceRetryBudgetTest, UnknownInstanceCountGivesNoSlack) {
  FakeClock clock;
  InstanceRetryBudget retry_budget(clock, {});
  EXPECT_FALSE(retry_budget.TryRetry(1, 0, true));
  EXPECT_TRUE(retry_budget.TryRetry(1, 13, true));
}

// Guards against retries deeper in the call chain that are not counted.
TEST(InstanceRetryBudgetTest, UncheckedRetriesCountAgainstTheBudget) {
  FakeClock clock;
  InstanceRetryBudget retry_budget(clock, {});
  for (int i = 0; i < 100; ++i) {
    retry_budget.OnRequest();
  }
  ASSERT_TRUE(retry_budget.TryRetry(1, 13, true));
  for (int i = 0; i < 20; ++i) {
    retry_budget.OnUncheckedRetry();
  }
  EXPECT_FALSE(retry_budget.TryRetry(1, 13, true));
  clock.Advance(seconds(11));
  EXPECT_TRUE(retry_budget.TryRetry(1, 13, true));
}

}  // namespace
}  // namespace masticpin
