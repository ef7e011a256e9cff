#include "masticpin/routing/subset_load_balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

wire::Member WireMember(const std::string& name, std::uint64_t incarnation, std::string zone) {
  wire::Member member;
  member.set_name(name);
  member.set_incarnation(incarnation);
  member.set_service("levies");
  member.set_zone(std::move(zone));
  return member;
}

// One calling node with its own view of the members and their load.
struct Caller {
  Caller(FakeClock& clock, const std::string& name, const std::string& zone, std::uint64_t seed)
      : random(seed),
        members(clock, MakeSelf(name, zone)),
        thresholds(clock),
        balancer(this->members, this->thresholds, clock, this->random) {}

  static Member MakeSelf(const std::string& name, const std::string& zone) {
    Member self;
    self.id = InstanceId{name, 1};
    self.service = "callers";
    self.zone = zone;
    return self;
  }

  void AddMember(const std::string& name, std::uint64_t incarnation, const std::string& zone) {
    this->members.ApplySender(WireMember(name, incarnation, zone), 1);
  }

  Ref<const Member> Select(Priority priority = {}, std::span<const InstanceId> excluded = {}) {
    SelectionRequest request;
    request.service = "levies";
    request.priority = priority;
    request.excluded = excluded;
    return this->balancer.Select(request);
  }

  SeededRandom random;
  MemberTable members;
  ThresholdCache thresholds;
  SubsetLoadBalancer balancer;
};

// Simulates callers in three zones that send Poisson arrivals to instances with a number of slots
// and a FIFO queue. Replies contain the load report.
class LoadModel {
 public:
  enum class Choice : std::uint8_t { kLoadBalancer, kRandom, kRoundRobin };

  struct Server {
    std::string name;
    std::string zone;
    double mean_ms = 20;
    std::uint32_t limit = 20;
    std::uint32_t in_flight = 0;
    std::queue<std::function<void()>> waiting;
    std::uint64_t requests = 0;
  };

  LoadModel(Choice choice, std::size_t servers, std::uint64_t seed) : choice(choice), engine(seed) {
    for (std::size_t i = 0; i < servers; ++i) {
      this->AddServer();
    }
    for (std::size_t i = 0; i < 6; ++i) {
      this->callers.push_back(std::make_unique<Caller>(this->clock, "caller" + std::to_string(i),
                                                       "z" + std::to_string(i % 3), seed + i));
    }
    for (std::size_t i = 0; i < servers; ++i) {
      this->Announce(i);
    }
    // All incarnations end their cold phase before the load starts.
    this->clock.Advance(seconds(11));
  }

  void AddServer() {
    Server server;
    server.name = "server" + std::to_string(this->servers.size());
    server.zone = "z" + std::to_string(this->servers.size() % 3);
    this->servers.push_back(std::move(server));
  }

  void Announce(std::size_t i) {
    for (const auto& caller : this->callers) {
      caller->AddMember(this->servers[i].name, 100 + i, this->servers[i].zone);
    }
  }

  // Simulates a load of `rate` requests/s for `length`.
  void Run(double rate, Duration length) {
    const TimePoint end = this->clock.Now() + length;
    std::exponential_distribution<double> gap(rate);
    TimePoint next = this->clock.Now();
    for (;;) {
      next +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->engine)));
      if (next >= end) {
        break;
      }
      this->RunEventsUntil(next);
      this->Arrive();
    }
    this->RunEventsUntil(end);
  }

  void ResetCounts() {
    for (Server& server : this->servers) {
      server.requests = 0;
    }
    this->latencies_ms.clear();
  }

  double Percentile(double p) {
    std::sort(this->latencies_ms.begin(), this->latencies_ms.end());
    return this->latencies_ms.empty()
               ? 0
               : this->latencies_ms[static_cast<std::size_t>(
                     p * static_cast<double>(this->latencies_ms.size() - 1))];
  }

  // Maximum deviation of the requests of a server from the mean, as a share of the mean.
  double Deviation() const {
    double mean = 0;
    for (const Server& server : this->servers) {
      mean += static_cast<double>(server.requests) / static_cast<double>(this->servers.size());
    }
    double worst = 0;
    for (const Server& server : this->servers) {
      worst = std::max(worst, std::abs(static_cast<double>(server.requests) / mean - 1));
    }
    return worst;
  }

  // Requests of server `i` relative to the mean of the other servers.
  double Share(std::size_t i) const {
    double others = 0;
    for (std::size_t s = 0; s < this->servers.size(); ++s) {
      others += s == i ? 0 : static_cast<double>(this->servers[s].requests);
    }
    return static_cast<double>(this->servers[i].requests) *
           static_cast<double>(servers.size() - 1) / others;
  }

  FakeClock clock;
  std::vector<Server> servers;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  void After(Duration delay, std::function<void()> action) {
    this->events.push(Event{this->clock.Now() + delay, ++this->order, std::move(action)});
  }

  void RunEventsUntil(TimePoint until) {
    while (!this->events.empty() && this->events.top().at <= until) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.at - this->clock.Now());
      event.action();
    }
    this->clock.Advance(until - this->clock.Now());
  }

  void Arrive() {
    const std::size_t c = this->engine() % this->callers.size();
    std::size_t target = 0;
    switch (this->choice) {
      case Choice::kLoadBalancer: {
        const Ref<const Member> member = this->callers[c]->Select();
        ASSERT_NE(member, nullptr);
        target = member->id.incarnation - 100;
        break;
      }
      case Choice::kRandom:
        target = this->engine() % this->servers.size();
        break;
      case Choice::kRoundRobin:
        target = this->round_robin++ % this->servers.size();
        break;
    }
    const InstanceId id{this->servers[target].name, 100 + target};
    this->callers[c]->balancer.OnSent(id);
    const TimePoint sent = this->clock.Now();
    this->After(microseconds(1400),
                [this, c, target, id, sent] { this->Accept(c, target, id, sent); });
  }

  void Accept(std::size_t c, std::size_t target, const InstanceId& id, TimePoint sent) {
    Server& server = this->servers[target];
    ++server.requests;
    auto start = [this, c, target, id, sent] {
      ++this->servers[target].in_flight;
      std::exponential_distribution<double> time(1 / this->servers[target].mean_ms);
      this->After(std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double, std::milli>(time(this->engine))),
                  [this, c, target, id, sent] { this->Finish(c, target, id, sent); });
    };
    if (server.in_flight < server.limit) {
      start();
    } else {
      server.waiting.push(start);
    }
  }

  void Finish(std::size_t c, std::size_t target, const InstanceId& id, TimePoint sent) {
    Server& server = this->servers[target];
    --server.in_flight;
    if (!server.waiting.empty()) {
      const auto next = std::move(server.waiting.front());
      server.waiting.pop();
      next();
    }
    LoadReport load;
    load.limit = server.limit;
    load.in_flight = server.in_flight;
    load.queued = static_cast<std::uint32_t>(server.waiting.size());
    this->After(microseconds(1400), [this, c, id, sent, load] {
      this->callers[c]->balancer.OnReply(id);
      this->callers[c]->balancer.OnLoad(id, load);
      this->latencies_ms.push_back(
          std::chrono::duration<double, std::milli>(this->clock.Now() - sent).count());
    });
  }

  const Choice choice;
  std::mt19937_64 engine;
  std::vector<std::unique_ptr<Caller>> callers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::uint64_t round_robin = 0;
  std::vector<double> latencies_ms;
};

constexpr LoadModel::Choice kChoices[] = {
    LoadModel::Choice::kLoadBalancer, LoadModel::Choice::kRandom, LoadModel::Choice::kRoundRobin};
constexpr const char* kChoiceNames[] = {"selector", "random", "round_robin"};

// Guards against a caller that prefers some of several equal instances. 6 instances with 20 slots
// of 20 ms serve 6,000 requests/s; the load is 70% of that.
TEST(SubsetLoadBalancerTest, EqualInstancesGetEqualShares) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      LoadModel model(kChoices[i], 6, seed);
      model.Run(4200, seconds(10));
      std::cout << "equal seed=" << seed << " choice=" << kChoiceNames[i]
                << " deviation=" << model.Deviation() << " p50_ms=" << model.Percentile(0.5)
                << " p99_ms=" << model.Percentile(0.99) << "\n";
      if (kChoices[i] == LoadModel::Choice::kLoadBalancer) {
        EXPECT_LT(model.Deviation(), 0.2);
      }
    }
  }
}

// Guards against requests that queue at an instance that runs at a fifth of its speed. With it, the
// instances can serve 5,200 requests/s; the load is 70% of that.
TEST(SubsetLoadBalancerTest, SlowInstanceGetsProportionallyLess) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      LoadModel model(kChoices[i], 6, seed);
      model.servers[2].mean_ms = 100;
      model.Run(3640, seconds(2));
      model.ResetCounts();
      model.Run(3640, seconds(10));
      std::cout << "slow seed=" << seed << " choice=" << kChoiceNames[i]
                << " share=" << model.Share(2) << " p50_ms=" << model.Percentile(0.5)
                << " p99_ms=" << model.Percentile(0.99) << "\n";
      if (kChoices[i] == LoadModel::Choice::kLoadBalancer) {
        EXPECT_GT(model.Share(2), 0.1);
        EXPECT_LT(model.Share(2), 0.35);
      }
    }
  }
}

// Guards against a cold instance that gets its full share at once, or never.
TEST(SubsetLoadBalancerTest, ColdInstanceRampsUp) {
  LoadModel model(LoadModel::Choice::kLoadBalancer, 6, 1);
  model.Run(3000, seconds(2));
  model.AddServer();
  model.Announce(6);
  std::vector<double> shares;
  for (int second = 0; second < 13; ++second) {
    model.ResetCounts();
    model.Run(3000, seconds(1));
    shares.push_back(model.Share(6));
  }
  std::cout << "cold shares";
  for (const double share : shares) {
    std::cout << " " << share;
  }
  std::cout << "\n";
  EXPECT_LT(shares[0], 0.3);
  EXPECT_GT(shares[0], 0.05);
  EXPECT_LT(shares[4], 0.75);
  EXPECT_GT(shares[4], shares[0]);
  EXPECT_GT(shares[12], 0.8);
}

// Guards against choosing an instance whose upstream is unreachable while another one works.
TEST(SubsetLoadBalancerTest, InstanceWithZeroLimitIsTheLastChoice) {
  FakeClock clock;
  Caller caller(clock, "caller", "z0", 1);
  caller.AddMember("a", 100, "z0");
  caller.AddMember("b", 101, "z1");
  caller.balancer.OnLoad(InstanceId{"a", 100}, LoadReport{0, 0, 0, 0});
  caller.balancer.OnLoad(InstanceId{"b", 101}, LoadReport{10, 10, 50, Priority{9, 65535}.Packed()});
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(caller.Select()->id.name, "b");
  }
  const InstanceId excluded[] = {InstanceId{"b", 101}};
  EXPECT_EQ(caller.Select({}, excluded)->id.name, "a");
}

// Guards against important requests that are sent to an instance that refuses them although another
// one admits them.
TEST(SubsetLoadBalancerTest, PrefersAnInstanceThatAdmitsThePriority) {
  FakeClock clock;
  Caller caller(clock, "caller", "z0", 1);
  caller.AddMember("a", 100, "z0");
  caller.AddMember("b", 101, "z1");
  caller.balancer.OnLoad(InstanceId{"a", 100}, LoadReport{10, 2, 0, Priority{8, 0}.Packed()});
  caller.balancer.OnLoad(InstanceId{"b", 101}, LoadReport{10, 9, 0, Priority{3, 0}.Packed()});
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(caller.Select(Priority{5, 0})->id.name, "b");
  }
}

// Guards against requests to other zones while the local zone is about as good.
TEST(SubsetLoadBalancerTest, PrefersTheLocalZoneWithinTwentyPercent) {
  FakeClock clock;
  Caller caller(clock, "caller", "z0", 1);
  caller.AddMember("a", 100, "z0");
  caller.AddMember("b", 101, "z1");
  clock.Advance(seconds(11));
  const auto select_with_local_load = [&](std::uint32_t local_in_flight) {
    caller.balancer.OnLoad(InstanceId{"a", 100}, LoadReport{100, local_in_flight, 0, 0});
    caller.balancer.OnLoad(InstanceId{"b", 101}, LoadReport{100, 50, 0, 0});
    return caller.Select()->id.name;
  };
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(select_with_local_load(60), "a");
    // 1.2 times 50% plus the slack of 5% is 65%.
    EXPECT_EQ(select_with_local_load(66), "b");
  }
}

// Guards against a subset that is too large, ignores the zones, or changes when other instances
// join or leave.
TEST(SubsetLoadBalancerTest, SubsetHasTwelveInstancesTwoThirdsInTheLocalZone) {
  FakeClock clock;
  Caller caller(clock, "caller", "z0", 1);
  for (std::uint64_t i = 0; i < 300; ++i) {
    caller.AddMember("s" + std::to_string(i), 1000 + i, "z" + std::to_string(i % 3));
  }
  const auto before = caller.balancer.Subset("levies");
  ASSERT_EQ(before.size(), 12U);
  EXPECT_EQ(std::count_if(before.begin(), before.end(),
                          [](const auto& member) { return member->zone == "z0"; }),
            8);
  // When one member leaves, only its place in the subset changes.
  caller.members.ApplyLeave(before[3]->id);
  const auto after = caller.balancer.Subset("levies");
  ASSERT_EQ(after.size(), 12U);
  std::size_t kept = 0;
  for (const auto& member : after) {
    kept += std::find(before.begin(), before.end(), member) != before.end() ? 1 : 0;
  }
  EXPECT_EQ(kept, 11U);
  // If all members of the subset are unreachable, an instance outside of it is chosen.
  for (const auto& member : after) {
    caller.members.OnFailure(member->id);
  }
  EXPECT_NE(caller.Select(), nullptr);
}

// Guards against requests to an instance in back-off, and against an instance that is never probed
// again.
TEST(SubsetLoadBalancerTest, BackoffEndsWithOneProbe) {
  FakeClock clock;
  Caller caller(clock, "caller", "z0", 1);
  caller.AddMember("a", 100, "z0");
  const InstanceId id{"a", 100};
  caller.balancer.OnSent(id);
  caller.balancer.OnFailure(id);
  SelectionRequest safe;
  safe.service = "levies";
  safe.usable_as_probe = true;
  EXPECT_EQ(caller.balancer.Select(safe), nullptr);
  clock.Advance(milliseconds(500));
  EXPECT_EQ(caller.Select(), nullptr);
  ASSERT_NE(caller.balancer.Select(safe), nullptr);
  caller.balancer.OnSent(id);
  EXPECT_EQ(caller.balancer.Select(safe), nullptr);
  caller.balancer.OnReply(id);
  EXPECT_NE(caller.Select(), nullptr);
  EXPECT_EQ(caller.balancer.Outstanding(id), 0U);
}

// Guards against choosing an instance that the member table does not allow, and against finding
// none while one is usable, for random histories of up to 20 instances.
TEST(SubsetLoadBalancerTest, ChoosesAnAllowedInstanceWheneverOneExists) {
  const auto property = [] {
    FakeClock clock;
    Caller caller(clock, "caller", "z0", *rc::gen::arbitrary<std::uint64_t>());
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 20), rc::gen::inRange(0, 3)));
    for (const auto& [action, n, value] : steps) {
      const std::string name = "s" + std::to_string(n);
      const InstanceId id{name, static_cast<std::uint64_t>(1000 + 10 * n + value)};
      switch (action) {
        case 0:
        case 1:
        case 2:
          caller.AddMember(name, id.incarnation, "z" + std::to_string(n % 3));
          break;
        case 3:
          caller.members.ApplyLeave(id);
          break;
        case 4:
          caller.balancer.OnSent(id);
          caller.balancer.OnFailure(id);
          break;
        case 5:
          clock.Advance(milliseconds(400 * value));
          break;
        case 6:
          caller.balancer.OnLoad(
              id, LoadReport{static_cast<std::uint32_t>(value) * 5, 3, 1,
                             Priority{static_cast<std::uint8_t>(value * 4), 0}.Packed()});
          break;
        case 7:
          caller.members.ApplyList({ListedInstance{name, "levies", "z1", "", name, value == 0}});
          break;
        default:
          caller.members.MarkUnverified();
          break;
      }
    }
    std::vector<InstanceId> excluded;
    for (const int n : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20))) {
      excluded.push_back(InstanceId{"s" + std::to_string(n), 0});
    }
    SelectionRequest request;
    request.service = "levies";
    request.priority = Priority{5, 0};
    request.usable_as_probe = *rc::gen::arbitrary<bool>();
    request.excluded = excluded;
    const auto allowed = [&](const Member& member) {
      const bool is_excluded =
          std::any_of(excluded.begin(), excluded.end(),
                      [&](const InstanceId& id) { return id.name == member.id.name; });
      const bool usable = member.state == MemberState::kLive ||
                          (member.state == MemberState::kUnreachable && request.usable_as_probe &&
                           member.retry_at <= clock.Now());
      return member.service == "levies" && member.HasContact() && usable && !is_excluded &&
             !caller.members.IsDeparted(member.id.incarnation);
    };
    bool exists = false;
    for (const Ref<Member>& member : caller.members.Members()) {
      exists = exists || allowed(*member);
    }
    const Ref<const Member> chosen = caller.balancer.Select(request);
    RC_ASSERT((chosen != nullptr) == exists);
    if (chosen != nullptr) {
      RC_ASSERT(allowed(*chosen));
    }
  };
  // Each check runs 100 cases.
  for (int round = 0; round < 20; ++round) {
    EXPECT_TRUE(rc::check(property));
  }
}

}  // namespace
}  // namespace masticpin
