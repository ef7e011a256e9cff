#include <gtest/gtest.h>

#include <cstdio>

#include "masticpin/testing/execution_simulation.h"

namespace masticpin {
namespace {

ActionTotals RunAll(ExecutionSimulationPlan plan, int run_count) {
  ActionTotals all;
  for (int i = 0; i < run_count; ++i) {
    plan.seed = 1'000 + static_cast<std::uint64_t>(i);
    // Every third simulation uses tables that are too small.
    ExecutionSimulationPlan run_plan = plan;
    if (i % 3 == 2 && plan.all_faults) {
      run_plan.capacity = 60;
    }
    all.Add(ExecutionSimulation(run_plan).Run());
  }
  return all;
}

void Print(const char* name, const ActionTotals& totals) {
  std::printf("%s: actions=%d complete=%d runs=%d doubled=%d not_run_but_ran=%d over_attempts=%d\n",
              name, totals.actions, totals.complete, totals.runs, totals.ran_twice,
              totals.not_run_but_ran, totals.over_attempt_bound);
  for (const auto& [error, count] : totals.errors) {
    std::printf("  %.*s=%d\n", static_cast<int>(error.size()), error.data(), count);
  }
}

// Guards against running a non-idempotent action twice and against reporting "not run" for a
// request that ran before or after the report, under a combination of lost, late and duplicated
// messages, restarts, pauses, partitions, drains and full tables.
TEST(ExecutionFaultsTest, AllFaultsTogether) {
  const ActionTotals ledger_totals = RunAll({}, 24);
  Print("ledger", ledger_totals);
  EXPECT_GE(ledger_totals.actions, 100'000);
  EXPECT_EQ(ledger_totals.ran_twice, 0);
  EXPECT_EQ(ledger_totals.not_run_but_ran, 0);
  EXPECT_EQ(ledger_totals.over_attempt_bound, 0);
  EXPECT_EQ(ledger_totals.wrong_response, 0);
  // The faults must not prevent most actions from completing.
  EXPECT_GT(ledger_totals.complete, ledger_totals.actions / 2);
}

// Shows that the same seeds cause second runs when nothing prevents them.
TEST(ExecutionFaultsTest, NaiveRetryRunsTwice) {
  ExecutionSimulationPlan plan;
  plan.mode = ExecutionMode::kNaiveRetry;
  const ActionTotals naive = RunAll(plan, 24);
  Print("naive retry", naive);
  EXPECT_GT(naive.ran_twice, 0);
}

// Guards against second runs during a partition, which happen when its two sides choose different
// owners for one key.
TEST(ExecutionFaultsTest, OwnershipByHashRunsTwiceUnderPartition) {
  ExecutionSimulationPlan plan;
  plan.all_faults = false;
  const ActionTotals ledger_totals = RunAll(plan, 4);
  Print("ledger, partitions only", ledger_totals);
  EXPECT_EQ(ledger_totals.ran_twice, 0);
  EXPECT_EQ(ledger_totals.not_run_but_ran, 0);

  plan.mode = ExecutionMode::kOwnerByHash;
  const ActionTotals naive = RunAll(plan, 4);
  Print("owner by hash, partitions only", naive);
  EXPECT_GT(naive.ran_twice, 0);
}

}  // namespace
}  // namespace masticpin
