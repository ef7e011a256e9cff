#include "masticpin/execution/inner_call_table.h"

#include <gtest/gtest.h>

#include "masticpin/testing/recording_waiter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

class InnerCallTableTest : public testing::Test {
 protected:
  BeginResult Begin(const InnerCall& call, LedgerWaiter& waiter) {
    return this->table.BeginInner(this->context->Token(), call, waiter);
  }

  SeededRandom random{1};
  InnerCallTable table{random};
  Ref<ExecutionContext> context =
      table.Open({.attempts = 5, .priority = {}, .deadline = {}, .action = {}, .traceparent = {}});
  RecordingWaiter waiter;
};

// Guards against running a payment twice when an upstream retries an inner call, and against
// joining an intended second call, which the upstream marks with a different step.
TEST_F(InnerCallTableTest, SameStepRunsOnce) {
  const InnerCall pay{.service = "dues", .kind = "pay", .step = "", .idempotent = false};
  const BeginResult first = this->Begin(pay, this->waiter);
  ASSERT_EQ(first.decision, BeginDecision::kStart);
  RecordingWaiter second;
  EXPECT_EQ(this->Begin(pay, second).decision, BeginDecision::kJoined);
  this->table.Finish(*first.entry, CompleteWith("paid"));
  EXPECT_EQ(second.results.at(0).response->Message().body(), "paid");
  EXPECT_EQ(this->Begin(pay, second).decision, BeginDecision::kReplay);

  InnerCall next = pay;
  next.step = "2";
  const BeginResult after_refusal = this->Begin(next, second);
  ASSERT_EQ(after_refusal.decision, BeginDecision::kStart);
  this->table.Finish(*after_refusal.entry, ActionResult::Failed(ErrorKind::kOverloaded));
  const BeginResult again = this->Begin(next, second);
  ASSERT_EQ(again.decision, BeginDecision::kStart);
  this->table.Finish(*again.entry, ActionResult::Failed(ErrorKind::kPeerLost));
  EXPECT_EQ(this->Begin(next, second).error, ErrorKind::kPeerLost);
}

// Guards against trusting a "not run" of an upstream whose inner call may have made a payment.
TEST_F(InnerCallTableTest, SummaryReportsInnerRuns) {
  const InnerCall pay{.service = "dues", .kind = "pay", .step = "", .idempotent = false};
  const BeginResult refused = this->Begin(pay, this->waiter);
  this->table.Finish(*refused.entry, ActionResult::Failed(ErrorKind::kOverloaded));
  const BeginResult running = this->Begin(pay, this->waiter);
  AttemptGrant grant = running.entry->Budget().Take(2);
  ASSERT_TRUE(this->context->Budget().Spend(1));

  const ContextSummary summary = this->table.Close(*this->context);

  EXPECT_TRUE(summary.inner_may_have_run);
  EXPECT_EQ(summary.attempts_used, 3U);
  // A reply after Close() changes nothing: the grant has already been reported as used.
  running.entry->Budget().Return(grant, 0);
  EXPECT_EQ(running.entry->Budget().Held(), 0U);
  this->table.Finish(*running.entry, CompleteWith("paid"));
}

// Guards against starting an inner call of an execution that has ended, or one without enough
// attempts.
TEST_F(InnerCallTableTest, LateCallsAndCallsWithoutAttemptsAreRefused) {
  const InnerCall look{
      .service = "archive", .kind = "scan", .step = "", .idempotent = true, .cost = 6};
  EXPECT_EQ(this->Begin(look, this->waiter).error, ErrorKind::kAttemptsExhausted);
  EXPECT_FALSE(this->table.Close(*this->context).inner_may_have_run);
  EXPECT_EQ(this->Begin(look, this->waiter).error, ErrorKind::kCancelledBeforeStart);
  EXPECT_EQ(this->table.Find("guess"), nullptr);
}

}  // namespace
}  // namespace masticpin
