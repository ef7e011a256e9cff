#include "masticpin/routing/zone_aware_load_balancer.h"

#include <gtest/gtest.h>

#include <map>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ZoneAwareLoadBalancerTest : public testing::Test {
 protected:
  void Add(const std::string& name, const std::string& zone) {
    UpstreamInstance instance;
    instance.name = name;
    instance.service = "dues";
    instance.zone = zone;
    instance.slots = 10;
    instance.incarnation = 1;
    this->balancer.OnInstanceUpdated(instance);
  }

  void ReportLoad(const std::string& name, std::uint32_t in_flight, std::uint32_t queued = 0) {
    this->balancer.OnLoad(name, LoadReport{10, in_flight, queued, 0, 0});
  }

  std::string Choose(std::vector<std::string> excluded = {}) {
    return std::string(this->balancer.Choose("dues", excluded));
  }

  // Sends one request to the chosen instance; it ends immediately.
  std::string Send(const std::string& failing = "") {
    const std::string name = this->Choose();
    this->balancer.OnSent(name);
    this->balancer.OnOutcome(name,
                             name == failing ? InstanceOutcome::kFailed : InstanceOutcome::kGood);
    return name;
  }

  FakeClock clock;
  SeededRandom random{1};
  ZoneAwareLoadBalancer balancer{"a", this->clock, this->random};
};

TEST_F(ZoneAwareLoadBalancerTest, UnknownServiceHasNoInstance) {
  EXPECT_EQ(this->Choose(), "");
}

// Guards against a grant that is requested from an instance whose retry budget is used up, or that
// cannot be reached.
TEST_F(ZoneAwareLoadBalancerTest, InstanceWithMostRetriesLeftCanGrant) {
  this->Add("used-up", "a");
  this->Add("some", "b");
  this->Add("most", "b");
  EXPECT_EQ(this->balancer.InstanceWithMostRetriesLeft("dues", ""), "");
  this->balancer.OnLoad("used-up", LoadReport{10, 0, 0, 0, 0});
  this->balancer.OnLoad("some", LoadReport{10, 0, 0, 0, 3});
  this->balancer.OnLoad("most", LoadReport{10, 0, 0, 0, 9});
  EXPECT_EQ(this->balancer.InstanceWithMostRetriesLeft("dues", ""), "most");
  EXPECT_EQ(this->balancer.InstanceWithMostRetriesLeft("dues", "most"), "some");
  EXPECT_EQ(this->balancer.InstanceWithMostRetriesLeft("ballot", ""), "");
  this->balancer.OnSent("most");
  this->balancer.OnOutcome("most", InstanceOutcome::kNodeLost);
  EXPECT_EQ(this->balancer.InstanceWithMostRetriesLeft("dues", ""), "some");
}

// Guards against traffic between zones that does not reduce the waiting time.
TEST_F(ZoneAwareLoadBalancerTest, LocalZoneIsUsedUntilRequestsWouldWait) {
  this->Add("own", "a");
  this->Add("other", "b");
  this->ReportLoad("own", 6);
  this->ReportLoad("other", 0);
  EXPECT_EQ(this->Choose(), "own");
  this->ReportLoad("own", 10, 5);
  EXPECT_EQ(this->Choose(), "other");
  // There is no benefit in another zone that is equally loaded.
  this->ReportLoad("other", 10, 5);
  EXPECT_EQ(this->Choose(), "own");
}

// Guards against a burst that goes to one instance between two of its load reports.
TEST_F(ZoneAwareLoadBalancerTest, RequestsSinceTheReportCount) {
  this->Add("x", "a");
  this->Add("y", "a");
  this->ReportLoad("x", 0);
  this->ReportLoad("y", 0);
  std::map<std::string, int> sent;
  for (int i = 0; i < 20; ++i) {
    const std::string name = this->Choose();
    this->balancer.OnSent(name);
    ++sent[name];
  }
  EXPECT_EQ(sent["x"], 10);
  EXPECT_EQ(sent["y"], 10);
}

// Guards against an instance that fails half of its requests although its health check succeeds:
// most requests must avoid it, and its recovery must be noticed.
TEST_F(ZoneAwareLoadBalancerTest, FailingInstanceIsAvoidedUntilItRecovers) {
  this->Add("good", "a");
  this->Add("grey", "a");
  int failed = 0;
  for (int i = 0; i < 400; ++i) {
    this->clock.Advance(milliseconds(5));
    if (this->Send("grey") == "grey") {
      ++failed;
    }
  }
  // Without the failure share, 200 of the 400 requests would be sent to it.
  EXPECT_LT(failed, 60);
  this->clock.Advance(seconds(6));
  int used = 0;
  for (int i = 0; i < 100; ++i) {
    used += this->Send() == "grey" ? 1 : 0;
  }
  EXPECT_GT(used, 25);
}

// Guards against many requests that wait for a connection to a machine that no longer exists.
TEST_F(ZoneAwareLoadBalancerTest, LostNodeIsProbedByOneRequestAtATime) {
  this->Add("lost", "a");
  this->Add("other", "b");
  this->balancer.OnSent("lost");
  this->balancer.OnOutcome("lost", InstanceOutcome::kNodeLost);
  EXPECT_EQ(this->Choose(), "other");
  this->clock.Advance(milliseconds(150));
  EXPECT_EQ(this->Choose(), "lost");
  this->balancer.OnSent("lost");
  EXPECT_EQ(this->Choose(), "other");
  // A response ends the back-off.
  this->balancer.OnOutcome("lost", InstanceOutcome::kGood);
  this->ReportLoad("lost", 0);
  EXPECT_EQ(this->Choose(), "lost");
}

TEST_F(ZoneAwareLoadBalancerTest, OnlyInstanceIsTriedDespiteItsBackoff) {
  this->Add("lost", "a");
  this->balancer.OnSent("lost");
  this->balancer.OnOutcome("lost", InstanceOutcome::kNodeLost);
  EXPECT_EQ(this->Choose(), "lost");
  EXPECT_EQ(this->Choose({"lost"}), "");
}

// Guards against requests that wait for a node which is paused, because each of them is the probe
// whether it still is: its connection tells that.
TEST_F(ZoneAwareLoadBalancerTest, SilentNodeGetsNoRequestsUntilItResponds) {
  this->Add("silent", "a");
  this->Add("other", "b");
  this->balancer.OnNodeSilent("silent", true);
  for (int i = 0; i < 50; ++i) {
    this->clock.Advance(milliseconds(100));
    EXPECT_EQ(this->Choose(), "other");
  }
  // The only instance that is left is tried all the same.
  EXPECT_EQ(this->Choose({"other"}), "silent");
  this->ReportLoad("silent", 0);
  EXPECT_EQ(this->Choose(), "silent");
}

// Guards against a node that is never tried again after its connection has ended or its host was
// cut off.
TEST_F(ZoneAwareLoadBalancerTest, NodeOfAStuckConnectionIsProbed) {
  this->Add("stuck", "a");
  this->Add("other", "b");
  this->balancer.OnNodeSilent("stuck", false);
  EXPECT_EQ(this->Choose(), "other");
  this->clock.Advance(milliseconds(200));
  EXPECT_EQ(this->Choose(), "stuck");
  this->balancer.OnNodeSilent("stuck", true);
  this->clock.Advance(seconds(3));
  EXPECT_EQ(this->Choose(), "other");
  this->balancer.OnNodeClosed("stuck");
  EXPECT_EQ(this->Choose(), "stuck");
}

// Guards against a stopping node that counts as available again because of its last replies: the
// requests sent to it were interrupted.
TEST_F(ZoneAwareLoadBalancerTest, LeavingNodeGetsNoRequestsUntilItsConnectionEnds) {
  this->Add("leaving", "a");
  this->Add("other", "b");
  this->balancer.OnNodeLeaving("leaving");
  this->ReportLoad("leaving", 0);
  EXPECT_EQ(this->Choose(), "other");
  this->balancer.OnNodeClosed("leaving");
  this->clock.Advance(milliseconds(150));
  EXPECT_EQ(this->Choose(), "leaving");
}

TEST_F(ZoneAwareLoadBalancerTest, DrainingAndRemovedInstancesGetNoRequests) {
  this->Add("x", "a");
  UpstreamInstance draining;
  draining.name = "y";
  draining.service = "dues";
  draining.state = InstanceState::kDraining;
  this->balancer.OnInstanceUpdated(draining);
  EXPECT_EQ(this->Choose(), "x");
  this->balancer.OnInstanceRemoved("x");
  EXPECT_EQ(this->Choose(), "");
}

// Guards against a new instance that gets no requests because its load is not yet known.
TEST_F(ZoneAwareLoadBalancerTest, JoiningInstanceGetsItsShareAtOnce) {
  this->Add("x", "a");
  this->ReportLoad("x", 5);
  this->Add("new", "a");
  std::map<std::string, int> sent;
  for (int i = 0; i < 10; ++i) {
    ++sent[this->Send()];
  }
  EXPECT_GE(sent["new"], 5);
}

}  // namespace
}  // namespace masticpin
