#include "masticpin/execution/home_dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "masticpin/execution/action_ledger.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/recording_waiter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HomeDispatcherTest : public testing::Test,
                           public ExecutionSender,
                           public InstanceChooser,
                           public DispatchObserver {
 protected:
  struct Sent {
    InstanceId to;
    wire::ExecuteRequest request;
  };

  void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) override {
    this->sent.push_back({executor, request});
  }
  void SendCancel(const InstanceId& executor, const wire::CancelRequest& request) override {
    EXPECT_EQ(executor.incarnation, request.key().executor_incarnation());
    ++this->cancels;
  }
  std::optional<ExecutionTarget> Choose(std::string_view /*service*/,
                                        std::span<const std::string> exclude,
                                        Priority /*priority*/) override {
    for (const InstanceId& instance : this->instances) {
      if (std::find(exclude.begin(), exclude.end(), instance.name) == exclude.end()) {
        return ExecutionTarget{instance, 1};
      }
    }
    return std::nullopt;
  }
  void OnDispatched(LedgerEntry& entry,
                    const ActionResult& result,
                    std::uint32_t attempts_used) override {
    this->used = attempts_used;
    this->ledger.Finish(entry, result);
  }

  Ref<LedgerEntry> Start(bool idempotent, LedgerWaiter& waiter, const std::string& body = "x") {
    const ActionParameters parameters{.idempotent = idempotent, .attempts = 6, .caller_tries = 3};
    const BeginResult begin = this->ledger.Begin(this->key_issuer.IssueKey(), parameters, waiter);
    EXPECT_EQ(begin.decision, BeginDecision::kStart);
    DispatchRequest dispatch_request;
    dispatch_request.deadline = this->clock.Now() + seconds(1);
    dispatch_request.expected_time = milliseconds(10);
    dispatch_request.request.set_body(body);
    this->dispatcher.Dispatch(begin.entry, std::move(dispatch_request));
    return begin.entry;
  }
  static wire::ExecuteReply ReplyTo(const Sent& message, const std::string& body) {
    wire::ExecuteReply reply;
    *reply.mutable_key() = message.request.key();
    reply.mutable_response()->set_body(body);
    reply.set_attempts_used(1);
    return reply;
  }
  static wire::ExecuteReply ErrorTo(const Sent& message, ErrorKind error) {
    wire::ExecuteReply reply;
    *reply.mutable_key() = message.request.key();
    reply.set_error(static_cast<std::uint32_t>(error));
    return reply;
  }

  FakeClock clock;
  SeededRandom random{1};
  KeyIssuer key_issuer{{"ballot-1", 77}, clock, random};
  ActionLedger ledger{{}, key_issuer, clock};
  SenderRetryBudget retry_budget{clock};
  HomeDispatcher dispatcher{{}, 77, clock, clock, *this, *this, retry_budget, *this};
  std::vector<InstanceId> instances = {{"a", 1}, {"b", 2}};
  std::vector<Sent> sent;
  int cancels = 0;
  std::uint32_t used = 0;
  RecordingWaiter waiter;
};

// Guards against refusing a request although another instance has room, and against counting
// attempts that the refusing instance did not use.
TEST_F(HomeDispatcherTest, OtherInstanceIsTriedAfterNotRun) {
  const Ref<LedgerEntry> entry = this->Start(false, this->waiter);
  this->dispatcher.OnReply({"a", 1}, ErrorTo(this->sent[0], ErrorKind::kOverloaded));
  ASSERT_EQ(this->sent.size(), 2U);
  EXPECT_EQ(this->sent[1].to.name, "b");
  EXPECT_NE(this->sent[1].request.key().sequence(), this->sent[0].request.key().sequence());
  this->dispatcher.OnReply({"b", 2}, ReplyTo(this->sent[1], "counted"));
  EXPECT_EQ(this->waiter.results.at(0).response->Message().body(), "counted");
  EXPECT_EQ(entry->Budget().Spent(), 1U);
  EXPECT_EQ(this->used, 1U);
}

// Guards against running a vote again after its reply was lost, and against returning attempts to
// the budget that may have been used.
TEST_F(HomeDispatcherTest, UnknownOutcomeEndsAVote) {
  const Ref<LedgerEntry> entry = this->Start(false, this->waiter);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->sent.size(), 1U);
  EXPECT_EQ(this->cancels, 1);
  EXPECT_EQ(this->waiter.results.at(0).error, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(entry->Budget().Spent(), 2U);

  this->dispatcher.OnReply({"a", 1}, ReplyTo(this->sent[0], "late"));
  EXPECT_EQ(this->waiter.results.size(), 1U);
  EXPECT_EQ(this->dispatcher.Counts().dropped_replies, 1U);
}

// Guards against running a vote again after its executor was lost or replaced: an earlier copy of
// the message may have run in the lost process.
TEST_F(HomeDispatcherTest, ReplacedExecutorMayHaveRun) {
  this->Start(false, this->waiter);
  this->dispatcher.OnReply({"a", 9}, ErrorTo(this->sent[0], ErrorKind::kWrongIncarnation));
  EXPECT_EQ(this->waiter.results.at(0).error, ErrorKind::kPeerLost);

  RecordingWaiter second;
  this->Start(false, second);
  this->dispatcher.OnPeerLost({"a", 1});
  EXPECT_EQ(second.results.at(0).error, ErrorKind::kPeerLost);
  EXPECT_EQ(this->sent.size(), 2U);
}

// Guards against an idempotent request that waits for a lost reply until its deadline, and against
// reporting "not run" when only the retry was refused.
TEST_F(HomeDispatcherTest, PageIsRetriedAfterHalfOfItsTime) {
  this->Start(true, this->waiter);
  this->clock.Advance(milliseconds(500));
  ASSERT_EQ(this->sent.size(), 2U);
  this->dispatcher.OnReply({"b", 2}, ErrorTo(this->sent[1], ErrorKind::kOverloaded));
  EXPECT_EQ(this->waiter.results.at(0).error, ErrorKind::kPeerLost);
}

// Guards against a page that fails at half of its time, while its upstream is at work, although no
// other instance can run it.
TEST_F(HomeDispatcherTest, PageWithoutAnotherInstanceHasAllOfItsTime) {
  this->instances = {{"a", 1}};
  this->Start(true, this->waiter);
  this->clock.Advance(milliseconds(900));
  EXPECT_EQ(this->cancels, 0);
  ASSERT_EQ(this->sent.size(), 1U);
  this->dispatcher.OnReply({"a", 1}, ReplyTo(this->sent[0], "late"));
  EXPECT_EQ(this->waiter.results.at(0).response->Message().body(), "late");
}

// Guards against a dispatch that stays outstanding after it was cancelled.
TEST_F(HomeDispatcherTest, CancelEndsTheDispatch) {
  const Ref<LedgerEntry> entry = this->Start(true, this->waiter);
  this->dispatcher.Cancel(*entry);
  EXPECT_EQ(this->cancels, 1);
  EXPECT_EQ(this->waiter.results.at(0).error, ErrorKind::kCancelled);
  EXPECT_EQ(this->dispatcher.Outstanding(), 0U);
}

// Guards against an endless search when no instance is left, and against more retries than the
// retry budget allows.
TEST_F(HomeDispatcherTest, RefusalsAreBounded) {
  this->instances.clear();
  this->Start(false, this->waiter);
  EXPECT_EQ(this->waiter.results.at(0).error, ErrorKind::kNoInstance);

  this->instances = {{"a", 1}, {"b", 2}, {"c", 3}};
  std::deque<RecordingWaiter> waiters;
  for (int i = 0; i < 100; ++i) {
    this->Start(false, waiters.emplace_back());
    const Sent first = this->sent.back();
    this->dispatcher.OnReply(first.to, ErrorTo(first, ErrorKind::kOverloaded));
    const Sent last = this->sent.back();
    this->dispatcher.OnReply(last.to, ErrorTo(last, ErrorKind::kOverloaded));
    EXPECT_EQ(waiters.back().results.size(), 1U);
  }
  // 100 first attempts, 10% of them as retries, and the one retry per second that is always
  // allowed.
  EXPECT_LE(this->sent.size(), 111U);
}

// Guards against a response that reaches the caller of another request: replies arrive in any
// order, twice, from the wrong process, with the key of another home node, or for a key that was
// never sent.
TEST_F(HomeDispatcherTest, RepliesReachTheirOwnWaiter) {
  constexpr int kCalls = 5'000;
  std::vector<RecordingWaiter> waiters(kCalls);
  std::vector<std::pair<InstanceId, wire::ExecuteReply>> replies;
  for (int i = 0; i < kCalls; ++i) {
    this->Start(false, waiters[static_cast<std::size_t>(i)], std::to_string(i));
    const Sent& message = this->sent.back();
    const wire::ExecuteReply good = ReplyTo(message, message.request.request().body());
    for (int copy = 0; copy < 2; ++copy) {
      replies.emplace_back(message.to, good);
    }
    const wire::ExecuteReply wrong = ReplyTo(message, "wrong");
    replies.emplace_back(InstanceId{"b", 2}, wrong);
    replies.emplace_back(InstanceId{"a", 9}, wrong);
    wire::ExecuteReply crossed = wrong;
    crossed.mutable_key()->set_home_incarnation(78);
    replies.emplace_back(message.to, crossed);
    crossed = wrong;
    crossed.mutable_key()->set_sequence(good.key().sequence() + kCalls);
    replies.emplace_back(message.to, crossed);
    crossed = wrong;
    crossed.mutable_key()->set_executor_incarnation(2);
    replies.emplace_back(message.to, crossed);
  }
  for (std::size_t i = replies.size() - 1; i > 0; --i) {
    std::swap(replies[i], replies[this->random.NextBelow(i + 1)]);
  }
  for (const auto& [from, reply] : replies) {
    this->dispatcher.OnReply(from, reply);
  }
  for (int i = 0; i < kCalls; ++i) {
    const auto& results = waiters[static_cast<std::size_t>(i)].results;
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].response->Message().body(), std::to_string(i));
  }
  EXPECT_EQ(this->dispatcher.Counts().dropped_replies, 6U * kCalls);
}

}  // namespace
}  // namespace masticpin
