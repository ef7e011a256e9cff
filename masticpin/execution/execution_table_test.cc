#include "masticpin/execution/execution_table.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::seconds;

class ExecutionTableTest : public testing::Test {
 protected:
  wire::ExecutionKey Key(std::uint64_t sequence, std::uint64_t incarnation = 5) {
    wire::ExecutionKey key;
    key.set_home_incarnation(9);
    key.set_sequence(sequence);
    key.set_executor_incarnation(incarnation);
    key.set_executor_epoch(this->epochs.Current());
    return key;
  }
  static Ref<const StoredReply> ReplyOf(const wire::ExecutionKey& key, std::size_t bytes = 1) {
    wire::ExecuteReply reply;
    *reply.mutable_key() = key;
    reply.mutable_response()->set_body(std::string(bytes, 'x'));
    return Ref<const StoredReply>(new StoredReply(std::move(reply)));
  }
  AcceptDecision DecisionFor(const wire::ExecutionKey& key) {
    return this->table.Accept(key).decision;
  }

  FakeClock clock;
  EpochCounter epochs{clock};
  ExecutionTable table{{.capacity = 3, .stored_bytes = 1'000}, 5, epochs, clock};
};

// Guards against running an execution again for a duplicated message.
TEST_F(ExecutionTableTest, DuplicatesNeverRun) {
  const wire::ExecutionKey key = this->Key(1);
  EXPECT_EQ(this->DecisionFor(key), AcceptDecision::kNew);
  EXPECT_EQ(this->DecisionFor(key), AcceptDecision::kDuplicateRunning);
  this->table.Finish(key, ReplyOf(key));
  const AcceptResult done = this->table.Accept(key);
  EXPECT_EQ(done.decision, AcceptDecision::kDuplicateDone);
  EXPECT_EQ(done.reply->Message().key().sequence(), 1U);
}

// Guards against running a request that its home node cancelled before it arrived.
TEST_F(ExecutionTableTest, CancelBeforeArrivalClosesTheKey) {
  const wire::ExecutionKey key = this->Key(1);
  EXPECT_EQ(this->table.Cancel(key), CancelDecision::kClosed);
  const AcceptResult accept = this->table.Accept(key);
  EXPECT_EQ(accept.decision, AcceptDecision::kRefused);
  EXPECT_EQ(accept.error, ErrorKind::kCancelledBeforeStart);

  const wire::ExecutionKey running = this->Key(2);
  EXPECT_EQ(this->DecisionFor(running), AcceptDecision::kNew);
  EXPECT_EQ(this->table.Cancel(running), CancelDecision::kRunning);
  EXPECT_EQ(this->table.Cancel(this->Key(3, 4)), CancelDecision::kIgnored);
}

// Guards against running a request that was addressed to an earlier process of this instance, or
// that is older than the keys kept in the table.
TEST_F(ExecutionTableTest, MessagesToOldIncarnationsAreRefused) {
  EXPECT_EQ(this->table.Accept(this->Key(1, 4)).error, ErrorKind::kWrongIncarnation);

  const wire::ExecutionKey old = this->Key(1);
  EXPECT_EQ(this->DecisionFor(old), AcceptDecision::kNew);
  this->table.Finish(old, ReplyOf(old));
  this->clock.Advance(seconds(119));
  EXPECT_EQ(this->DecisionFor(old), AcceptDecision::kDuplicateDone);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->table.Size(), 0U);
  EXPECT_EQ(this->table.Accept(old).error, ErrorKind::kOutcomeLost);
  wire::ExecutionKey future = this->Key(2);
  future.set_executor_epoch(future.executor_epoch() + 1);
  EXPECT_EQ(this->table.Accept(future).error, ErrorKind::kOutcomeLost);
}

// Guards against removing a key from a full table to make room, and against running a late
// duplicate of a refused message when there is room again: the home node may have tried another
// instance in between.
TEST_F(ExecutionTableTest, FullTableRefusesPermanently) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    EXPECT_EQ(this->DecisionFor(this->Key(i)), AcceptDecision::kNew);
  }
  this->clock.Advance(seconds(60));
  const wire::ExecutionKey refused = this->Key(4);
  EXPECT_EQ(this->table.Accept(refused).error, ErrorKind::kLedgerFull);
  this->clock.Advance(seconds(60));
  EXPECT_EQ(this->table.Size(), 0U);
  EXPECT_EQ(this->table.Accept(refused).error, ErrorKind::kLedgerFull);
  EXPECT_EQ(this->DecisionFor(this->Key(5)), AcceptDecision::kNew);
}

// Guards against unbounded memory for stored replies, and against a second run after a reply was
// dropped.
TEST_F(ExecutionTableTest, DroppedReplyKeepsTheKeyClosed) {
  const wire::ExecutionKey first = this->Key(1);
  const wire::ExecutionKey second = this->Key(2);
  this->table.Accept(first);
  this->table.Accept(second);
  this->table.Finish(first, ReplyOf(first, 700));
  this->table.Finish(second, ReplyOf(second, 700));
  EXPECT_LE(this->table.StoredBytes(), 1'000U);
  const AcceptResult done = this->table.Accept(first);
  EXPECT_EQ(done.decision, AcceptDecision::kDuplicateDone);
  EXPECT_EQ(done.reply, nullptr);
}

}  // namespace
}  // namespace masticpin
