#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "masticpin/attempts/attempt_budget.h"
#include "masticpin/attempts/grant_policy.h"
#include "masticpin/attempts/retry_policy.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against attempts that are created by splitting or returning a grant, or by a wrong number
// of used attempts.
RC_GTEST_PROP(AttemptBudgetProperty, AttemptsAreNeverCreated, (std::uint64_t seed)) {
  SeededRandom random(seed);
  const auto initial = static_cast<std::uint32_t>(random.NextBelow(100));
  AttemptBudget budget(initial);
  std::vector<AttemptGrant> grants;
  std::uint32_t granted = 0;
  std::uint32_t used = 0;
  for (int step = 0; step < 200; ++step) {
    const auto count = static_cast<std::uint32_t>(random.NextBelow(20));
    switch (random.NextBelow(3)) {
      case 0:
        used += budget.Spend(count) ? count : 0;
        break;
      case 1:
        grants.push_back(budget.Take(count));
        granted += grants.back().Count();
        break;
      default:
        if (!grants.empty()) {
          const std::uint32_t size = grants.back().Count();
          budget.Return(grants.back(), count);
          granted -= size;
          used += std::min(size, count);
          grants.pop_back();
        }
    }
    RC_ASSERT(budget.Held() + granted + used == initial);
  }
  RC_ASSERT(budget.Close() == granted + used);
  RC_ASSERT(budget.Held() == 0U);
}

// Guards against a run that cannot complete with its grant, and against a grant that leaves no
// attempts for a retry although there are enough.
RC_GTEST_PROP(GrantPolicyProperty,
              GrantCoversTheCost,
              (std::uint32_t remaining, std::uint32_t cost)) {
  const std::uint32_t grant = GrantPolicy::Decide(remaining, cost);
  const std::uint64_t needed = std::max<std::uint32_t>(cost, 1);
  RC_ASSERT(grant == (remaining < needed ? 0 : std::min<std::uint64_t>(remaining, 2 * needed)));
}

// Guards against retries that add more than 10% load to a failing service, and against a node with
// few requests that never retries.
TEST(SenderRetryBudgetTest, RetriesStayBelowTheRatio) {
  FakeClock clock;
  SenderRetryBudget retry_budget(clock);
  int retries = 0;
  for (int i = 0; i < 60'000; ++i) {
    retry_budget.OnFirstAttempt();
    retries += retry_budget.TryRetry() ? 1 : 0;
    clock.Advance(milliseconds(1));
  }
  EXPECT_LE(retries, 6'010);
  EXPECT_GE(retries, 5'900);

  SenderRetryBudget quiet(clock);
  retries = 0;
  for (int i = 0; i < 100; ++i) {
    retries += quiet.TryRetry() ? 1 : 0;
    clock.Advance(milliseconds(100));
  }
  EXPECT_EQ(retries, 10);
}

// Guards against a retry that could run a request twice, cannot succeed, cannot finish in time, or
// has no attempts left.
TEST(RetryPolicyTest, RetriesOnlyWhatIsSafeAndCanHelp) {
  const RetryContext good{.error = ErrorKind::kOverloaded,
                          .idempotent = false,
                          .attempts_left = 2,
                          .cost = 2,
                          .time_left = milliseconds(20),
                          .expected_time = milliseconds(10)};
  const auto decide = [](const RetryContext& context) {
    FakeClock clock;
    SenderRetryBudget retry_budget(clock);
    return RetryPolicy::Decide(context, retry_budget);
  };
  EXPECT_EQ(decide(good), RetryDecision::kRetryElsewhere);

  RetryContext unknown = good;
  unknown.error = ErrorKind::kPeerLost;
  EXPECT_EQ(decide(unknown), RetryDecision::kGiveUp);
  unknown.idempotent = true;
  EXPECT_EQ(decide(unknown), RetryDecision::kRetryElsewhere);
  RetryContext not_retryable = good;
  not_retryable.error = ErrorKind::kMalformedRequest;
  EXPECT_EQ(decide(not_retryable), RetryDecision::kGiveUp);
  RetryContext late = good;
  late.time_left = milliseconds(10);
  EXPECT_EQ(decide(late), RetryDecision::kGiveUp);
  RetryContext no_attempts_left = good;
  no_attempts_left.attempts_left = 1;
  EXPECT_EQ(decide(no_attempts_left), RetryDecision::kGiveUp);
}

}  // namespace
}  // namespace masticpin
