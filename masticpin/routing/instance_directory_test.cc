#include "masticpin/routing/instance_directory.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SocketAddress kLocalAddress{"192.0.2.1", 80};

UpstreamInstance Instance(std::string name, std::string ip, std::uint64_t revision) {
  UpstreamInstance instance;
  instance.name = std::move(name);
  instance.service = "dues";
  instance.zone = "a";
  instance.address = {std::move(ip), 80};
  instance.revision = revision;
  instance.listed_revision = revision;
  return instance;
}

class InstanceDirectoryTest : public testing::Test {
 protected:
  InstanceDirectory directory{kLocalAddress, "dues"};
  TimePoint now{seconds(100)};
};

// Guards against a stale list that restores a state which a newer entry has replaced.
TEST_F(InstanceDirectoryTest, OlderEntryDoesNotReplaceNewer) {
  UpstreamInstance draining = Instance("i-1", "192.0.2.2", 20);
  draining.listed_revision = 5;
  draining.state = InstanceState::kDraining;
  this->directory.Apply(draining);
  this->directory.ApplyList({Instance("i-1", "192.0.2.2", 10)}, 15, this->now);
  ASSERT_NE(this->directory.Find("i-1"), nullptr);
  EXPECT_EQ(this->directory.Find("i-1")->state, InstanceState::kDraining);
}

// Guards against an entry of another writer that takes the address of a live instance: with a
// service that no configuration names, it hid the instance and its departure from all nodes.
TEST_F(InstanceDirectoryTest, EntryOfAnUnnamedServiceTakesNoAddress) {
  this->directory.SetServices({{"dues", "/h", 1}});
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  UpstreamInstance other = Instance("copy", "192.0.2.2", 11);
  other.service = "unknown";
  this->directory.ApplyList({Instance("i-1", "192.0.2.2", 10), other}, 12, this->now);
  EXPECT_EQ(this->directory.Find("copy"), nullptr);
  UpstreamInstance draining = Instance("i-1", "192.0.2.2", 13);
  draining.listed_revision = 10;
  draining.state = InstanceState::kDraining;
  this->directory.Apply(draining);
  ASSERT_NE(this->directory.FindByAddress({"192.0.2.2", 80}), nullptr);
  EXPECT_EQ(this->directory.FindByAddress({"192.0.2.2", 80})->state, InstanceState::kDraining);
}

// Guards against instances of a new service that get no requests because they were listed before
// the configuration that names the service was known.
TEST_F(InstanceDirectoryTest, InstancesOfAServiceThatIsNamedLaterAreKnown) {
  this->directory.SetServices({{"dues", "/h", 1}});
  UpstreamInstance instance = Instance("i-1", "192.0.2.2", 10);
  instance.service = "almanac";
  this->directory.ApplyList({instance}, 12, this->now);
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  this->directory.SetServices({{"dues", "/h", 1}, {"almanac", "/h", 1}});
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
}

// Guards against a stale list that restores a removed instance.
TEST_F(InstanceDirectoryTest, RemovedInstanceReturnsOnlyWithNewerEntry) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.Remove("i-1", 12);
  this->directory.ApplyList({Instance("i-1", "192.0.2.2", 11)}, 11, this->now);
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  this->directory.Apply(Instance("i-1", "192.0.2.2", 13));
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
}

TEST_F(InstanceDirectoryTest, ListRemovesWhatItDoesNotContainUnlessThatIsNewer) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.Apply(Instance("i-2", "192.0.2.3", 30));
  this->directory.ApplyList({}, 20, this->now);
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  EXPECT_NE(this->directory.Find("i-2"), nullptr);
}

// Guards against a service without instances after the registry recovers: entries that expired
// while it was unavailable are written again within two seconds.
TEST_F(InstanceDirectoryTest, LapsedEntriesAreKeptForTheGracePeriod) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.OnRegistryUnavailable(this->now);
  this->directory.ApplyList({}, 20, this->now + milliseconds(2000));
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
  this->directory.ApplyMissing("i-1", 20, this->now + milliseconds(2100));
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
  this->directory.ApplyList({}, 20, this->now + milliseconds(2600));
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
}

// Guards against an instance that is used until the next list because its removal was read while
// removals were suspended.
TEST_F(InstanceDirectoryTest, SuspendedRemovalTakesEffectAtTheEndOfTheGracePeriod) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.Apply(Instance("i-2", "192.0.2.3", 11));
  this->directory.OnRegistryUnavailable(this->now);
  this->directory.OnRegistryRecovered(seconds(5));
  EXPECT_FALSE(this->directory.ApplyMissing("i-1", 20, this->now + milliseconds(100)));
  EXPECT_FALSE(this->directory.ApplyMissing("i-2", 20, this->now + milliseconds(100)));
  EXPECT_FALSE(this->directory.ApplySuspendedRemovals(this->now + milliseconds(2400)));
  this->directory.Apply(Instance("i-2", "192.0.2.3", 21));
  EXPECT_TRUE(this->directory.ApplySuspendedRemovals(this->now + milliseconds(2500)));
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  EXPECT_NE(this->directory.Find("i-2"), nullptr);
}

// Guards against a departure that is ignored because one call to the registry failed: an entry
// cannot expire in so short an outage.
TEST_F(InstanceDirectoryTest, ShortOutageSuspendsNoRemovals) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.OnRegistryUnavailable(this->now);
  this->directory.OnRegistryRecovered(milliseconds(1100));
  EXPECT_TRUE(this->directory.ApplyMissing("i-1", 20, this->now + milliseconds(100)));
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
}

// Guards against a second, short outage that ends the grace period of a long one before it.
TEST_F(InstanceDirectoryTest, ShortOutageDoesNotEndTheGracePeriodOfALongOne) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.OnRegistryUnavailable(this->now);
  this->directory.OnRegistryRecovered(seconds(5));
  this->directory.OnRegistryUnavailable(this->now + milliseconds(200));
  this->directory.OnRegistryRecovered(milliseconds(300));
  EXPECT_FALSE(this->directory.ApplyMissing("i-1", 20, this->now + milliseconds(400)));
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
}

// Guards against an instance that left and is used again after a restart: a node that has just read
// the registry's list accepted the entry from a node that could not read the registry since.
TEST_F(InstanceDirectoryTest, EntryOfPeerDoesNotRestoreWhatTheListNoLongerContains) {
  this->directory.ApplyList({Instance("i-1", "192.0.2.2", 10)}, 40, this->now);
  this->directory.ApplyEntries({Instance("i-gone", "192.0.2.3", 30)});
  EXPECT_EQ(this->directory.Find("i-gone"), nullptr);
  // Newer than the list, so the list could not contain it.
  this->directory.ApplyEntries({Instance("i-new", "192.0.2.4", 41)});
  EXPECT_NE(this->directory.Find("i-new"), nullptr);
  UpstreamInstance draining = Instance("i-1", "192.0.2.2", 39);
  draining.listed_revision = 10;
  draining.state = InstanceState::kDraining;
  this->directory.ApplyEntries({draining});
  EXPECT_EQ(this->directory.Find("i-1")->state, InstanceState::kDraining);
}

// Guards against ignoring the entries of other nodes because of a list that was read while the
// registry had lost entries.
TEST_F(InstanceDirectoryTest, ListDuringTheGracePeriodDoesNotBarEntriesOfPeers) {
  this->directory.OnRegistryUnavailable(this->now);
  this->directory.ApplyList({}, 40, this->now + milliseconds(100));
  this->directory.ApplyEntries({Instance("i-1", "192.0.2.2", 10)});
  EXPECT_NE(this->directory.Find("i-1"), nullptr);
}

// Guards against requests that are sent to the predecessor of an instance that was restarted under
// a new name.
TEST_F(InstanceDirectoryTest, LaterInstanceTakesTheAddress) {
  this->directory.Apply(Instance("i-1", "192.0.2.2", 10));
  this->directory.Apply(Instance("i-2", "192.0.2.2", 20));
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  // A late heartbeat of the predecessor does not reclaim the address.
  UpstreamInstance late = Instance("i-1", "192.0.2.2", 21);
  late.listed_revision = 10;
  this->directory.Apply(late);
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  ASSERT_NE(this->directory.FindByAddress({"192.0.2.2", 80}), nullptr);
  EXPECT_EQ(this->directory.FindByAddress({"192.0.2.2", 80})->name, "i-2");
}

// Guards against requests for one service that run at another one: this happened when a machine was
// replaced and its address was reused by another service while the registry still listed the old
// entry.
TEST_F(InstanceDirectoryTest, EntryOfAnotherServiceAtTheLocalAddressIsIgnored) {
  UpstreamInstance earlier = Instance("i-1", kLocalAddress.ip, 10);
  earlier.service = "almanac";
  this->directory.Apply(earlier);
  EXPECT_EQ(this->directory.Find("i-1"), nullptr);
  this->directory.Apply(Instance("i-2", kLocalAddress.ip, 20));
  EXPECT_NE(this->directory.Find("i-2"), nullptr);
}

}  // namespace
}  // namespace masticpin
