#include "masticpin/membership/member_table.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class MemberTableTest : public testing::Test, public MemberObserver {
 protected:
  MemberTableTest() : table(this->clock, MakeSelf()) { this->table.AddObserver(*this); }

  static Member MakeSelf() {
    Member self;
    self.id = InstanceId{"self", 1};
    self.service = "ballot";
    self.zone = "a";
    return self;
  }

  static wire::Member Sender(const std::string& name, std::uint64_t incarnation) {
    wire::Member sender;
    sender.set_name(name);
    sender.set_incarnation(incarnation);
    sender.set_service("ballot");
    sender.set_zone("b");
    sender.set_peer_endpoint("endpoint-" + name);
    return sender;
  }

  static std::vector<ListedInstance> List(const std::string& name, bool leaving = false) {
    return {ListedInstance{name, "ballot", "b", "http", "endpoint-" + name, leaving}};
  }

  MemberState StateOf(std::string_view name) { return this->table.Find(name)->state; }

  void OnMemberAdded(const Member& /*member*/) override { ++this->added; }
  void OnMemberChanged(const Member& /*member*/, std::uint64_t /*previous*/) override {
    ++this->changed;
  }
  void OnMemberRemoved(const Member& /*member*/) override { ++this->removed; }

  FakeClock clock;
  MemberTable table;
  int added = 0;
  int changed = 0;
  int removed = 0;
};

// Guards against a stale list that restores a departed instance, before and after a newer list
// confirmed its removal.
TEST_F(MemberTableTest, StaleListDoesNotRestoreADepartedIncarnation) {
  this->table.ApplyList(List("n"));
  this->table.ApplySender(Sender("n", 7), 1);
  this->table.ApplyLeave(InstanceId{"n", 7});
  this->table.ApplyList(List("n"));
  EXPECT_EQ(this->StateOf("n"), MemberState::kLeaving);
  this->table.ApplyList({});
  EXPECT_EQ(this->table.Find("n"), nullptr);
  this->clock.Advance(minutes(9));
  this->table.ApplyList(List("n"));
  EXPECT_EQ(this->table.Find("n"), nullptr);
  // Afterwards the list may add the name again, but without an incarnation to which requests could
  // be sent.
  this->clock.Advance(minutes(2));
  this->table.ApplyList(List("n"));
  ASSERT_NE(this->table.Find("n"), nullptr);
  EXPECT_FALSE(this->table.Find("n")->HasContact());
}

// Guards against a late message of a departed process that restores it.
TEST_F(MemberTableTest, LateMessageDoesNotRestoreADepartedIncarnation) {
  this->table.ApplySender(Sender("n", 7), 1);
  this->table.ApplyLeave(InstanceId{"n", 7});
  EXPECT_EQ(this->table.ApplySender(Sender("n", 7), 2, true), MemberUpdateResult::kIgnored);
  EXPECT_EQ(this->StateOf("n"), MemberState::kLeaving);
  wire::MemberUpdate update;
  *update.add_members() = Sender("n", 7);
  this->table.ApplyUpdate(update);
  EXPECT_EQ(this->StateOf("n"), MemberState::kLeaving);
  // Its successor is accepted at once.
  EXPECT_EQ(this->table.ApplySender(Sender("n", 8), 1), MemberUpdateResult::kApplied);
  EXPECT_EQ(this->StateOf("n"), MemberState::kLive);
}

// Guards against two processes of one name that replace each other with each message, and against
// the older one winning because its message came last.
TEST_F(MemberTableTest, ConflictOfTwoIncarnationsIsSettledByAPing) {
  this->table.ApplySender(Sender("n", 8), 1);
  EXPECT_EQ(this->table.ApplySender(Sender("n", 7), 9), MemberUpdateResult::kConflict);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 8U);
  // The Pong comes from 9: it replaces 8.
  EXPECT_EQ(this->table.ApplySender(Sender("n", 9), 1, true), MemberUpdateResult::kApplied);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 9U);
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->table.ApplySender(Sender("n", 8), 2), MemberUpdateResult::kConflict);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 9U);
}

// Guards against a wrong replacement that cannot be undone: a replaced incarnation that answers a
// Ping is the current one.
TEST_F(MemberTableTest, ReplacedIncarnationThatAnswersAPingComesBack) {
  this->table.ApplySender(Sender("n", 8), 1);
  this->clock.Advance(seconds(5));
  this->table.ApplySender(Sender("n", 7), 1);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 7U);
  EXPECT_EQ(this->table.ApplySender(Sender("n", 8), 1, true), MemberUpdateResult::kApplied);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 8U);
}

// Guards against a report of a peer that overrides a recent message of the member itself.
TEST_F(MemberTableTest, ReportDoesNotReplaceAMemberWithRecentContact) {
  this->table.ApplySender(Sender("n", 8), 1);
  wire::MemberUpdate update;
  *update.add_members() = Sender("n", 7);
  this->table.ApplyUpdate(update);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 8U);
  this->clock.Advance(seconds(3));
  this->table.ApplyUpdate(update);
  EXPECT_EQ(this->table.Find("n")->id.incarnation, 7U);
  EXPECT_FALSE(this->table.Find("n")->HasContact());
}

// Guards against losing a departure that is reported before the member's first message arrives.
TEST_F(MemberTableTest, DepartureBeforeTheFirstMessageHolds) {
  wire::MemberUpdate update;
  wire::Member leaving = Sender("n", 7);
  leaving.set_leaving(true);
  *update.add_members() = leaving;
  this->table.ApplyUpdate(update);
  this->table.ApplyList(List("n"));
  EXPECT_EQ(this->table.Find("n"), nullptr);
  EXPECT_EQ(this->table.ApplySender(Sender("n", 7), 1), MemberUpdateResult::kIgnored);
}

// Guards against the platform's list overriding a member whose own messages say that it is live.
TEST_F(MemberTableTest, MembersOwnMessagesOverrideAListedDeparture) {
  this->table.ApplySender(Sender("n", 7), 1);
  this->table.ApplyList(List("n", true));
  EXPECT_EQ(this->StateOf("n"), MemberState::kLive);
  this->clock.Advance(seconds(6));
  this->table.ApplyList(List("n", true));
  EXPECT_EQ(this->StateOf("n"), MemberState::kLeaving);
  this->table.ApplySender(Sender("n", 7), 1);
  EXPECT_EQ(this->StateOf("n"), MemberState::kLive);
}

// Guards against a list that lags behind new instances and removes them.
TEST_F(MemberTableTest, UnlistedMemberStaysWhileItSendsMessages) {
  this->table.ApplySender(Sender("n", 7), 1);
  this->table.ApplyList({});
  ASSERT_NE(this->table.Find("n"), nullptr);
  this->clock.Advance(seconds(61));
  this->table.ApplyList({});
  EXPECT_EQ(this->table.Find("n"), nullptr);
  EXPECT_EQ(this->removed, 1);
}

// Guards against a back-off that grows with each failed request of one outage, or without bound.
TEST_F(MemberTableTest, BackoffDoublesOncePerOutageUpToTheMaximum) {
  this->table.ApplySender(Sender("n", 7), 1);
  const InstanceId id{"n", 7};
  for (int i = 0; i < 50; ++i) {
    this->table.OnFailure(id);
  }
  EXPECT_EQ(this->table.Find("n")->backoff, milliseconds(500));
  for (const int expected : {1000, 2000, 4000, 8000, 8000}) {
    this->clock.Advance(this->table.Find("n")->backoff);
    this->table.OnFailure(id);
    EXPECT_EQ(this->table.Find("n")->backoff, milliseconds(expected));
  }
  this->table.OnSuccess(id);
  EXPECT_EQ(this->StateOf("n"), MemberState::kLive);
  EXPECT_EQ(this->table.Find("n")->backoff, Duration::zero());
}

// Guards against counting failures of an old process as failures of its successor.
TEST_F(MemberTableTest, FailureOfAnotherIncarnationDoesNotCount) {
  this->table.ApplySender(Sender("n", 7), 1);
  this->table.OnFailure(InstanceId{"n", 6});
  EXPECT_EQ(this->StateOf("n"), MemberState::kLive);
}

// Guards against peers or the list changing the entry of the local node.
TEST_F(MemberTableTest, OwnEntryIsNotChangedFromOutside) {
  this->table.ApplyList(List("self", true));
  this->table.ApplySender(Sender("self", 99), 1);
  this->table.ApplyLeave(InstanceId{"self", 1});
  this->table.OnFailure(InstanceId{"self", 1});
  EXPECT_EQ(this->table.Self().id.incarnation, 1U);
  EXPECT_EQ(this->StateOf("self"), MemberState::kLive);
}

// Guards against tombstones and changes that are never removed.
TEST_F(MemberTableTest, TombstonesExpire) {
  for (std::uint64_t i = 1; i <= 100; ++i) {
    this->table.ApplyLeave(InstanceId{"n" + std::to_string(i), 1000 + i});
  }
  EXPECT_TRUE(this->table.IsDeparted(1001));
  this->clock.Advance(minutes(10));
  this->table.ApplyList({});
  EXPECT_FALSE(this->table.IsDeparted(1001));
  EXPECT_EQ(this->table.RecentChanges(minutes(60), 1000).members_size(), 0);
}

// Guards against random peers that are duplicates, leaving members or the local node.
TEST_F(MemberTableTest, RandomPeersAreDistinctAndLive) {
  for (std::uint64_t i = 1; i <= 20; ++i) {
    this->table.ApplySender(Sender("n" + std::to_string(i), i + 10), 1);
  }
  this->table.ApplyLeave(InstanceId{"n1", 11});
  SeededRandom random(5);
  for (const std::size_t count : {3U, 16U, 40U}) {
    for (int round = 0; round < 200; ++round) {
      const auto peers = this->table.RandomPeers(count, random);
      EXPECT_LE(peers.size(), count);
      for (std::size_t i = 0; i < peers.size(); ++i) {
        EXPECT_FALSE(peers[i]->self);
        EXPECT_NE(peers[i]->state, MemberState::kLeaving);
        EXPECT_EQ(std::count(peers.begin(), peers.end(), peers[i]), 1);
      }
    }
  }
  EXPECT_EQ(this->table.RandomPeers(40, random).size(), 19U);
}

}  // namespace
}  // namespace masticpin
