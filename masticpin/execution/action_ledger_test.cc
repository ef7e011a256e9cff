#include "masticpin/execution/action_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "masticpin/error/error_info.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/recording_waiter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ActionParameters kVote{.idempotent = false, .attempts = 3, .caller_tries = 3};
const ActionParameters kPage{.idempotent = true, .attempts = 3, .caller_tries = 3};

class ActionLedgerTest : public testing::Test {
 protected:
  // Runs one action to its end.
  void RunToEnd(const ActionKey& key, const ActionResult& result) {
    RecordingWaiter waiter;
    const BeginResult begin = this->ledger.Begin(key, kVote, waiter);
    ASSERT_EQ(begin.decision, BeginDecision::kStart);
    this->ledger.Finish(*begin.entry, result);
  }
  ErrorKind Refusal(const ActionKey& key, const ActionParameters& parameters = kVote) {
    RecordingWaiter waiter;
    const BeginResult begin = this->ledger.Begin(key, parameters, waiter);
    EXPECT_EQ(begin.decision, BeginDecision::kRefused);
    return begin.error;
  }

  FakeClock clock;
  SeededRandom random{1};
  KeyIssuer key_issuer{{"ballot-1", 77}, clock, random};
  ActionLedger ledger{{.capacity = 4, .stored_bytes = 100'000, .sweep_batch = 2},
                      key_issuer,
                      clock};
};

// Guards against running an action again for a duplicate request, and against passing the response
// to a caller that has stopped waiting.
TEST_F(ActionLedgerTest, DuplicatesJoinThenReplay) {
  const ActionKey key = this->key_issuer.IssueKey();
  RecordingWaiter first;
  RecordingWaiter second;
  RecordingWaiter left;
  const BeginResult begin = this->ledger.Begin(key, kVote, first);
  ASSERT_EQ(begin.decision, BeginDecision::kStart);
  EXPECT_EQ(this->ledger.Begin(key, kVote, second).decision, BeginDecision::kJoined);
  EXPECT_EQ(this->ledger.Begin(key, kVote, left).decision, BeginDecision::kJoined);
  left.StopWaiting();

  this->ledger.Finish(*begin.entry, CompleteWith("counted"));

  ASSERT_EQ(first.results.size(), 1U);
  ASSERT_EQ(second.results.size(), 1U);
  EXPECT_EQ(second.results[0].response->Message().body(), "counted");
  EXPECT_TRUE(left.results.empty());
  RecordingWaiter late;
  const BeginResult replay = this->ledger.Begin(key, kVote, late);
  ASSERT_EQ(replay.decision, BeginDecision::kReplay);
  EXPECT_EQ(replay.response->Message().body(), "counted");
}

// Guards against successor keys that restore used attempts or are issued without end, and against
// starting a refused key when a duplicate of its request arrives late.
TEST_F(ActionLedgerTest, SuccessorsInheritRemainingAttempts) {
  const ActionKey first = this->key_issuer.IssueKey();
  ActionKey key = first;
  for (std::uint32_t left = kVote.caller_tries; left > 0; --left) {
    RecordingWaiter waiter;
    const BeginResult begin = this->ledger.Begin(key, kVote, waiter);
    ASSERT_EQ(begin.decision, BeginDecision::kStart);
    this->ledger.Finish(*begin.entry, ActionResult::Failed(ErrorKind::kOverloaded));
    ASSERT_EQ(waiter.results.size(), 1U);
    if (left == 1) {
      EXPECT_EQ(waiter.results[0].error, ErrorKind::kAttemptsExhausted);
      EXPECT_FALSE(waiter.results[0].successor.has_value());
      continue;
    }
    EXPECT_EQ(waiter.results[0].error, ErrorKind::kOverloaded);
    ASSERT_TRUE(waiter.results[0].successor.has_value());
    // A duplicate of the closed key gets the same successor, so the action cannot continue with two
    // keys.
    RecordingWaiter duplicate;
    const BeginResult closed = this->ledger.Begin(key, kVote, duplicate);
    EXPECT_EQ(closed.error, ErrorKind::kKeyClosed);
    EXPECT_EQ(closed.successor, waiter.results[0].successor);
    key = *closed.successor;
    EXPECT_EQ(key.Rank(), first.Rank());
  }
  EXPECT_EQ(this->Refusal(first), ErrorKind::kAttemptsExhausted);
  EXPECT_EQ(this->Refusal(key), ErrorKind::kAttemptsExhausted);
  EXPECT_EQ(this->ledger.Size(), 1U);
}

// Guards against a further try of an action whose attempts were all used by an earlier try.
TEST_F(ActionLedgerTest, SpentAttemptsStaySpent) {
  const ActionKey key = this->key_issuer.IssueKey();
  RecordingWaiter waiter;
  const BeginResult begin = this->ledger.Begin(key, kVote, waiter);
  ASSERT_TRUE(begin.entry->Budget().Spend(3));
  this->ledger.Finish(*begin.entry, ActionResult::Failed(ErrorKind::kUpstreamShed));
  EXPECT_EQ(waiter.results[0].error, ErrorKind::kAttemptsExhausted);
}

// Guards against a second run of a non-idempotent action after an unknown outcome, and against
// reporting an action as "not run" when only its last try was refused.
TEST_F(ActionLedgerTest, UnknownOutcomeStaysUnknown) {
  const ActionKey vote = this->key_issuer.IssueKey();
  this->RunToEnd(vote, ActionResult::Failed(ErrorKind::kPeerLost));
  EXPECT_EQ(this->Refusal(vote), ErrorKind::kPeerLost);

  const ActionKey page = this->key_issuer.IssueKey();
  RecordingWaiter waiter;
  BeginResult begin = this->ledger.Begin(page, kPage, waiter);
  this->ledger.Finish(*begin.entry, ActionResult::Failed(ErrorKind::kUpstreamBroken));
  begin = this->ledger.Begin(page, kPage, waiter);
  ASSERT_EQ(begin.decision, BeginDecision::kStart);
  this->ledger.Finish(*begin.entry, ActionResult::Failed(ErrorKind::kOverloaded));
  EXPECT_EQ(waiter.results[1].error, ErrorKind::kUpstreamBroken);
}

// Guards against removing an entry from a full table to make room, after which a duplicate of its
// action would run again, and against later starting an action whose key was refused because the
// table was full.
TEST_F(ActionLedgerTest, FullTableRefusesAndForgetsNothing) {
  std::vector<ActionKey> kept;
  for (int i = 0; i < 4; ++i) {
    kept.push_back(this->key_issuer.IssueKey());
    this->RunToEnd(kept.back(), CompleteWith("counted"));
  }
  this->clock.Advance(seconds(60));
  const ActionKey refused = this->key_issuer.IssueKey();
  EXPECT_EQ(this->Refusal(refused), ErrorKind::kLedgerFull);
  for (const ActionKey& key : kept) {
    RecordingWaiter waiter;
    EXPECT_EQ(this->ledger.Begin(key, kVote, waiter).decision, BeginDecision::kReplay);
  }

  // With a sweep_batch of 2, the four entries are freed in two timer calls.
  this->clock.Advance(seconds(60) + milliseconds(10));
  EXPECT_EQ(this->ledger.Size(), 0U);
  EXPECT_EQ(this->Refusal(refused), ErrorKind::kKeyClosed);
  this->RunToEnd(this->key_issuer.IssueKey(), CompleteWith("counted"));
}

// Guards against a timer call that frees all entries of an epoch at once and blocks the node while
// it runs.
TEST_F(ActionLedgerTest, ExpiryIsIncremental) {
  LedgerSettings settings;
  ActionLedger large(settings, this->key_issuer, this->clock);
  for (int i = 0; i < 100'000; ++i) {
    RecordingWaiter waiter;
    const BeginResult begin = large.Begin(this->key_issuer.IssueKey(), kVote, waiter);
    large.Finish(*begin.entry, ActionResult::Failed(ErrorKind::kPeerLost));
  }
  this->clock.Advance(seconds(120) - milliseconds(1));
  ASSERT_EQ(large.Size(), 100'000U);
  for (std::size_t before = large.Size(); before > 0; before = large.Size()) {
    this->clock.Advance(milliseconds(1));
    EXPECT_LE(before - large.Size(), settings.sweep_batch);
    ASSERT_LT(this->clock.Now(), TimePoint(seconds(125)));
  }
}

// Guards against starting an action with an expired key in a process that was paused and whose
// timers have not run yet.
TEST_F(ActionLedgerTest, ExpiredKeyIsLostBeforeTimersRun) {
  const ActionKey used = this->key_issuer.IssueKey();
  const ActionKey unused = this->key_issuer.IssueKey();
  this->RunToEnd(used, CompleteWith("counted"));
  this->clock.Advance(seconds(59));
  this->RunToEnd(this->key_issuer.IssueKey(), CompleteWith("counted"));
  struct : TimerSubscriber {
    void OnTimer(TimePoint /*now*/) override { this->check(); }
    std::function<void()> check;
  } first_timer;
  first_timer.check = [&] {
    EXPECT_EQ(this->Refusal(used), ErrorKind::kOutcomeLost);
    EXPECT_EQ(this->Refusal(unused), ErrorKind::kOutcomeLost);
  };
  this->clock.Schedule(first_timer, this->clock.Now());
  this->clock.Pause(seconds(100));
}

// Guards against starting an action for a key of another process or for a forged key.
TEST_F(ActionLedgerTest, KeysOfOtherProcessesAndForgedKeysDoNotStart) {
  KeyIssuer earlier({"ballot-1", 76}, this->clock, this->random);
  KeyIssuer other_instance({"ballot-2", 77}, this->clock, this->random);
  EXPECT_EQ(this->Refusal(earlier.IssueKey()), ErrorKind::kOutcomeLost);
  EXPECT_EQ(this->Refusal(other_instance.IssueKey()), ErrorKind::kOutcomeLost);
  ActionKey forged = this->key_issuer.IssueKey();
  ++forged.generation;
  EXPECT_EQ(this->Refusal(forged), ErrorKind::kKeyInvalid);
}

// Guards against unbounded memory for stored responses, and against running an action again after
// its response was dropped.
TEST_F(ActionLedgerTest, LargeOrOldResponsesAreNotStored) {
  const ActionKey large = this->key_issuer.IssueKey();
  this->RunToEnd(large, CompleteWith(std::string(70'000, 'x')));
  EXPECT_EQ(this->Refusal(large), ErrorKind::kAlreadyComplete);

  const ActionKey oldest = this->key_issuer.IssueKey();
  this->RunToEnd(oldest, CompleteWith(std::string(60'000, 'x')));
  this->RunToEnd(this->key_issuer.IssueKey(), CompleteWith(std::string(60'000, 'x')));
  EXPECT_LE(this->ledger.StoredBytes(), 100'000U);
  EXPECT_EQ(this->Refusal(oldest), ErrorKind::kAlreadyComplete);
}

// Guards against starting an action on a node that is draining.
TEST_F(ActionLedgerTest, DrainClosesUnusedKeys) {
  const ActionKey unused = this->key_issuer.IssueKey();
  const ActionKey done = this->key_issuer.IssueKey();
  this->RunToEnd(done, CompleteWith("counted"));
  const ActionKey running = this->key_issuer.IssueKey();
  RecordingWaiter waiter;
  const BeginResult begin = this->ledger.Begin(running, kVote, waiter);
  this->ledger.Drain();

  EXPECT_EQ(this->Refusal(unused), ErrorKind::kDraining);
  RecordingWaiter late;
  EXPECT_EQ(this->ledger.BeginWithoutKey(kPage, late).error, ErrorKind::kDraining);
  EXPECT_EQ(this->ledger.Begin(done, kVote, late).decision, BeginDecision::kReplay);
  EXPECT_EQ(this->ledger.Begin(running, kVote, late).decision, BeginDecision::kJoined);
  this->ledger.Finish(*begin.entry, CompleteWith("counted"));
  EXPECT_EQ(late.results.size(), 1U);
}

// Guards against running a duplicate of a request that was refused before dispatch, and against
// reporting a request as "not run" while a copy of it runs.
TEST_F(ActionLedgerTest, CloseEndsAnUnusedKeyOnly) {
  const ActionKey unused = this->key_issuer.IssueKey();
  const BeginResult closed = this->ledger.Close(unused, kVote, ErrorKind::kMalformedRequest);
  EXPECT_EQ(closed.error, ErrorKind::kMalformedRequest);
  EXPECT_EQ(this->Refusal(unused), ErrorKind::kKeyClosed);

  const ActionKey running = this->key_issuer.IssueKey();
  RecordingWaiter waiter;
  ASSERT_EQ(this->ledger.Begin(running, kVote, waiter).decision, BeginDecision::kStart);
  EXPECT_FALSE(IsNotRun(this->ledger.Close(running, kVote, ErrorKind::kMalformedRequest).error));
}

// Guards against any sequence of requests, results, expiries and refusals by a full table that
// starts an action with a key for which "not run" was reported, or starts a non-idempotent action
// that may have run before.
RC_GTEST_PROP(ActionLedgerProperty, NoStartAfterNotRunOrPossibleRun, (std::uint64_t seed)) {
  FakeClock clock;
  SeededRandom random(seed);
  KeyIssuer key_issuer({"ballot-1", 77}, clock, random);
  ActionLedger ledger({.capacity = 8, .sweep_batch = 1}, key_issuer, clock);
  std::deque<RecordingWaiter> waiters;
  std::vector<ActionKey> keys;
  std::map<std::string, BeginResult> running;
  std::set<std::string> refused;
  std::set<std::uint64_t> may_have_run;
  for (int step = 0; step < 300; ++step) {
    const std::uint64_t choice = random.NextBelow(100);
    if (choice < 15 || keys.empty()) {
      keys.push_back(key_issuer.IssueKey());
    } else if (choice < 70) {
      // Actions with an even sequence number are idempotent.
      const ActionKey key = keys[random.NextBelow(keys.size())];
      const bool idempotent = key.sequence % 2 == 0;
      BeginResult begin = ledger.Begin(key, idempotent ? kPage : kVote, waiters.emplace_back());
      if (begin.decision == BeginDecision::kStart) {
        RC_ASSERT(refused.count(key.ToText()) == 0U);
        const bool safe = idempotent || may_have_run.count(key.sequence) == 0;
        RC_ASSERT(safe);
        running[key.ToText()] = std::move(begin);
      } else if (begin.decision == BeginDecision::kRefused && IsNotRun(begin.error)) {
        RC_ASSERT(running.count(key.ToText()) == 0U);
        refused.insert(key.ToText());
        if (begin.successor) {
          keys.push_back(*begin.successor);
        }
      }
    } else if (choice < 95 && !running.empty()) {
      const auto chosen =
          std::next(running.begin(), static_cast<std::ptrdiff_t>(random.NextBelow(running.size())));
      const ActionKey key = ActionKey::Parse(chosen->first).value();
      const Ref<LedgerEntry> entry = chosen->second.entry;
      running.erase(chosen);
      RecordingWaiter& waiter = waiters.emplace_back();
      const bool joined = ledger.Begin(key, kVote, waiter).decision == BeginDecision::kJoined;
      const std::uint64_t end = random.NextBelow(3);
      ledger.Finish(*entry, end == 0   ? CompleteWith("x")
                            : end == 1 ? ActionResult::Failed(ErrorKind::kOverloaded)
                                       : ActionResult::Failed(ErrorKind::kPeerLost));
      if (end != 1) {
        may_have_run.insert(key.sequence);
      }
      if (joined && waiter.results[0].error && IsNotRun(*waiter.results[0].error)) {
        refused.insert(key.ToText());
        if (waiter.results[0].successor) {
          keys.push_back(*waiter.results[0].successor);
        }
      }
    } else {
      clock.Advance(seconds(random.NextBelow(40)));
    }
    RC_ASSERT(ledger.Size() <= 8U);
  }
}

// Guards against keys that change when they are written to a header and parsed again, and against
// accepting a text that was never issued as a key.
RC_GTEST_PROP(ActionKeyProperty,
              TextFormIsExact,
              (std::uint64_t incarnation, std::uint64_t sequence, std::uint8_t generation)) {
  FakeClock clock;
  SeededRandom random(sequence);
  const KeyIssuer key_issuer({"kano-1.levies", incarnation}, clock, random);
  const ActionKey key = key_issuer.IssueSuccessor(1, sequence, generation);
  const std::string text = key.ToText();
  RC_ASSERT(ActionKey::Parse(text).value() == key);
  RC_ASSERT(!key_issuer.Verify(key).has_value());

  std::string changed = text;
  changed[random.NextBelow(changed.size())] ^= static_cast<char>(1 + random.NextBelow(127));
  const Result<ActionKey> parsed = ActionKey::Parse(changed);
  const bool refused = !parsed || key_issuer.Verify(*parsed).has_value();
  RC_ASSERT(refused);
}

}  // namespace
}  // namespace masticpin
