#include <gtest/gtest.h>

#include <cstdio>

#include "masticpin/testing/execution_world.h"

namespace masticpin {
namespace {

ActionTotals RunAll(ExecutionWorldPlan plan, int worlds) {
  ActionTotals all;
  for (int i = 0; i < worlds; ++i) {
    plan.seed = 1'000 + static_cast<std::uint64_t>(i);
    // Every third world has tables that are too small.
    ExecutionWorldPlan world_plan = plan;
    if (i % 3 == 2 && plan.all_faults) {
      world_plan.capacity = 60;
    }
    all.Add(ExecutionWorld(world_plan).Run());
  }
  return all;
}

void Print(const char* name, const ActionTotals& totals) {
  std::printf("%s: actions=%d complete=%d runs=%d doubled=%d not_run_but_ran=%d over_attempts=%d\n",
              name, totals.actions, totals.complete, totals.runs, totals.doubled,
              totals.not_run_but_ran, totals.over_attempts);
  for (const auto& [error, count] : totals.errors) {
    std::printf("  %.*s=%d\n", static_cast<int>(error.size()), error.data(), count);
  }
}

// Guards against a second run of a non-idempotent action and against a "not run" answer to a
// request that ran before or after it, with lost, late and duplicated messages, restarts, pauses,
// partitions, drains and full tables together.
TEST(ExecutionFaultsTest, AllFaultsTogether) {
  const ActionTotals ours = RunAll({}, 24);
  Print("ours", ours);
  EXPECT_GE(ours.actions, 100'000);
  EXPECT_EQ(ours.doubled, 0);
  EXPECT_EQ(ours.not_run_but_ran, 0);
  EXPECT_EQ(ours.over_attempts, 0);
  EXPECT_EQ(ours.wrong_response, 0);
  // The faults must not keep the actions from running at all.
  EXPECT_GT(ours.complete, ours.actions / 2);
}

// Shows that the seeds do produce second runs when nothing prevents them.
TEST(ExecutionFaultsTest, NaiveRetryRunsTwice) {
  ExecutionWorldPlan plan;
  plan.mode = ExecutionMode::kNaiveRetry;
  const ActionTotals naive = RunAll(plan, 24);
  Print("naive retry", naive);
  EXPECT_GT(naive.doubled, 0);
}

// Guards against owners that two sides of a partition choose differently.
TEST(ExecutionFaultsTest, OwnershipByHashRunsTwiceUnderPartition) {
  ExecutionWorldPlan plan;
  plan.all_faults = false;
  const ActionTotals ours = RunAll(plan, 4);
  Print("ours, partitions only", ours);
  EXPECT_EQ(ours.doubled, 0);
  EXPECT_EQ(ours.not_run_but_ran, 0);

  plan.mode = ExecutionMode::kOwnerByHash;
  const ActionTotals naive = RunAll(plan, 4);
  Print("owner by hash, partitions only", naive);
  EXPECT_GT(naive.doubled, 0);
}

}  // namespace
}  // namespace masticpin
