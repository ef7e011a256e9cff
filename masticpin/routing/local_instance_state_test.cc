#include "masticpin/routing/local_instance_state.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

UpstreamInstance Entry(const std::string& name, InstanceState state = InstanceState::kReady) {
  UpstreamInstance entry;
  entry.name = name;
  entry.state = state;
  return entry;
}

class LocalInstanceStateTest : public testing::Test {
 protected:
  /// Returns whether the entry, or the absence of one, had an effect.
  bool Apply(const UpstreamInstance& entry) { return this->IsApplied(&entry); }
  bool IsApplied(const UpstreamInstance* entry) {
    return this->state.OnEntry(entry) != LocalEntryEffect::kIgnored;
  }

  FakeClock clock;
  LocalInstanceState state{this->clock};
};

TEST_F(LocalInstanceStateTest, FollowsItsEntry) {
  EXPECT_TRUE(this->Apply(Entry("i-1")));
  EXPECT_FALSE(this->state.IsLeaving());
  EXPECT_TRUE(this->Apply(Entry("i-1", InstanceState::kDraining)));
  EXPECT_TRUE(this->state.IsLeaving());
  EXPECT_TRUE(this->Apply(Entry("i-2")));
  EXPECT_FALSE(this->state.IsLeaving());
  EXPECT_TRUE(this->IsApplied(nullptr));
  EXPECT_TRUE(this->state.IsLeaving());
}

// Guards against requests on connections to a process that was replaced.
TEST_F(LocalInstanceStateTest, EntryTellsOfANewProcess) {
  UpstreamInstance entry = Entry("i-1");
  entry.incarnation = 1;
  EXPECT_EQ(this->state.OnEntry(&entry), LocalEntryEffect::kNewProcess);
  EXPECT_EQ(this->state.OnEntry(&entry), LocalEntryEffect::kSameProcess);
  entry.incarnation = 2;
  EXPECT_EQ(this->state.OnEntry(&entry), LocalEntryEffect::kNewProcess);
  EXPECT_EQ(this->state.OnEntry(nullptr), LocalEntryEffect::kSameProcess);
}

// Guards against a node that refuses all requests at its start, before it knows its instance.
TEST_F(LocalInstanceStateTest, UnknownInstanceIsNotLeaving) {
  EXPECT_TRUE(this->IsApplied(nullptr));
  EXPECT_FALSE(this->state.IsLeaving());
}

// Guards against the predecessor's entry that ends the service of an instance which is not listed
// yet.
TEST_F(LocalInstanceStateTest, EntryOfThePredecessorDoesNotApply) {
  this->Apply(Entry("i-1"));
  EXPECT_TRUE(this->state.OnNameReported("i-2"));
  EXPECT_FALSE(this->Apply(Entry("i-1", InstanceState::kDraining)));
  EXPECT_FALSE(this->IsApplied(nullptr));
  EXPECT_FALSE(this->state.IsLeaving());
  EXPECT_TRUE(this->Apply(Entry("i-2")));
  EXPECT_TRUE(this->IsApplied(nullptr));
  EXPECT_TRUE(this->state.IsLeaving());
}

// Guards against an instance that left and is served for good, because its node was restarted
// afterwards and knows it only from its responses.
TEST_F(LocalInstanceStateTest, UnlistedInstanceLeavesAfterTheRegistrationTime) {
  this->state.OnNameReported("i-1");
  this->clock.Advance(milliseconds(1900));
  this->state.OnEntryMissing("i-1");
  EXPECT_FALSE(this->state.IsLeaving());
  this->clock.Advance(milliseconds(100));
  this->state.OnEntryMissing("i-0");
  EXPECT_FALSE(this->state.IsLeaving());
  this->state.OnEntryMissing("i-1");
  EXPECT_TRUE(this->state.IsLeaving());
  // It was only slow to register.
  EXPECT_TRUE(this->Apply(Entry("i-1")));
  EXPECT_FALSE(this->state.IsLeaving());
}

// Guards against a response of a leaving instance that repeats its own name and puts it back in
// use.
TEST_F(LocalInstanceStateTest, KnownNameInAResponseChangesNothing) {
  this->Apply(Entry("i-1", InstanceState::kDraining));
  EXPECT_FALSE(this->state.OnNameReported("i-1"));
  EXPECT_FALSE(this->state.OnNameReported(""));
  EXPECT_TRUE(this->state.IsLeaving());
}

}  // namespace
}  // namespace masticpin
