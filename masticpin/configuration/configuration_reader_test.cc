#include "masticpin/configuration/configuration_reader.h"

#include <gtest/gtest.h>

#include <iostream>
#include <memory>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/fake_configuration_service.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AcceptAll : public DocumentValidator {
 public:
  std::string Validate(std::string_view, std::uint64_t, std::string_view) override { return {}; }
};

// A node with a ConfigurationReader. If `others` is 0, its member table holds only the node itself.
// Otherwise the table also holds as many members of the same zone as are needed for the node not to
// be selected as a reader.
struct ReaderNode {
  ReaderNode(FakeConfigurationService& service,
             FakeClock& clock,
             std::size_t number,
             int others,
             ReaderSelectionSettings settings)
      : random(number + 1),
        members(clock, MakeSelf(number)),
        store(clock, this->validator),
        readers(this->members, clock, settings),
        client(service, number),
        reader("manifest", this->store, this->readers, this->client, clock, clock, this->random) {
    // Only members that precede this node in the order of selection count.
    for (int i = 0; others > 0 && this->readers.Role() == ReaderRole::kReader; ++i) {
      wire::Member member;
      member.set_name("other" + std::to_string(i));
      member.set_incarnation(static_cast<std::uint64_t>(i) + 100);
      member.set_zone("z");
      this->members.ApplySender(member, 1);
    }
    this->reader.Start();
  }

  static Member MakeSelf(std::size_t number) {
    Member self;
    self.id = InstanceId{"n" + std::to_string(number), 1};
    self.zone = "z";
    return self;
  }

  AcceptAll validator;
  SeededRandom random;
  MemberTable members;
  DocumentStore store;
  ReaderSelection readers;
  FakeServiceClient client;
  ConfigurationReader reader;
};

class ConfigurationReaderTest : public testing::Test {
 protected:
  void Add(std::size_t count, int others, ReaderSelectionSettings settings = {}) {
    for (std::size_t i = 0; i < count; ++i) {
      this->nodes.push_back(std::make_unique<ReaderNode>(this->service, this->clock,
                                                         this->nodes.size(), others, settings));
    }
  }

  void Run(Duration length, Duration step = milliseconds(10)) {
    for (Duration t{}; t < length; t += step) {
      this->now += step;
      this->service.SetNow(this->now);
      for (const auto& node : this->nodes) {
        node->client.Poll();
      }
      this->clock.Advance(step);
    }
  }

  FakeConfigurationService service;
  FakeClock clock;
  Duration now{};
  std::vector<std::unique_ptr<ReaderNode>> nodes;
};

// Guards against watch calls that are renewed before they have ended, and against a new version
// that a watch misses.
TEST_F(ConfigurationReaderTest, WatchCostsOneCallForEachRenewalOrVersion) {
  this->service.published = 1;
  this->Add(1, 0);
  this->Run(seconds(1));
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 1U);
  const std::uint64_t before = this->nodes[0]->reader.Calls();
  this->Run(seconds(300));
  EXPECT_LE(this->nodes[0]->reader.Calls() - before, 60U);
  this->service.published = 2;
  this->Run(milliseconds(50));
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 2U);
}

// Guards against a reader that calls a stale service in a loop: a watch on it returns immediately.
TEST_F(ConfigurationReaderTest, StaleServiceIsNotCalledInALoop) {
  this->service.published = 5;
  this->Add(1, 0);
  this->Run(seconds(1));
  this->service.visible = [](std::size_t) { return std::uint64_t{3}; };
  const std::uint64_t before = this->nodes[0]->reader.Calls();
  this->Run(seconds(60));
  EXPECT_LE(this->nodes[0]->reader.Calls() - before, 32U);
  EXPECT_GE(this->nodes[0]->reader.Calls() - before, 10U);
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 5U);
  EXPECT_GT(this->nodes[0]->reader.StaleResponses(), 0U);
  this->service.published = 6;
  this->service.visible = nullptr;
  this->Run(seconds(7));
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 6U);
}

// Guards against a reader that stops reading permanently after the service was down or unreachable.
TEST_F(ConfigurationReaderTest, ReadsAgainAfterAnOutage) {
  this->service.published = 1;
  this->Add(1, 0);
  this->Run(seconds(1));
  this->service.down = true;
  const std::uint64_t before = this->nodes[0]->reader.Calls();
  this->Run(seconds(60));
  EXPECT_LE(this->nodes[0]->reader.Calls() - before, 32U);
  this->service.down = false;
  this->service.reachable = [](std::size_t) { return false; };
  this->Run(seconds(60));
  this->service.reachable = nullptr;
  this->service.published = 2;
  this->Run(seconds(8));
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 2U);
}

// Guards against non-readers that call the service although readers confirm the versions, and
// against non-readers that do not call it when confirmations stop.
TEST_F(ConfigurationReaderTest, OtherNodesReadOnlyWithoutConfirmation) {
  this->service.published = 1;
  this->Add(1, 3);
  EXPECT_EQ(this->nodes[0]->readers.Role(), ReaderRole::kNone);
  for (int i = 0; i < 30; ++i) {
    this->nodes[0]->readers.RecordConfirmation(Duration::zero());
    this->Run(seconds(1));
  }
  EXPECT_EQ(this->nodes[0]->reader.Calls(), 0U);
  this->Run(seconds(13));
  EXPECT_EQ(this->nodes[0]->store.VersionOf("manifest"), 1U);
}

// Guards against a burst of calls when all 15,000 nodes of the target fleet lose their readers at
// the same time and fall back, while the service is down and then stale. Each member table holds
// one member, so the fleet call rate is scaled to give the spread interval of a table of 15,000
// members (60 s). No node is a reader.
TEST_F(ConfigurationReaderTest, FallbackOfFifteenThousandNodesStaysBelowTheCallRate) {
  constexpr std::size_t kNodes = 15000;
  constexpr Duration kStep = milliseconds(250);
  this->service.published = 5;
  this->service.down = true;
  ReaderSelectionSettings settings;
  settings.readers_per_zone = 0;
  settings.fleet_call_rate /= static_cast<double>(kNodes);
  this->Add(kNodes, 0, settings);
  this->Run(seconds(130), kStep);
  const std::uint64_t down = this->service.PeakCallsPerSecond();
  const Duration stale_from = this->now;
  this->service.down = false;
  for (const auto& node : this->nodes) {
    node->store.Offer("manifest", 5, FakeConfigurationService::BytesOf(5), DocumentSource{});
  }
  this->service.visible = [](std::size_t) { return std::uint64_t{4}; };
  this->Run(seconds(60), kStep);
  const std::uint64_t stale = this->service.PeakCallsPerSecond(stale_from);
  std::cout << "fallback nodes=" << kNodes << " busiest_second_down=" << down
            << " busiest_second_stale=" << stale << " naive_calls_per_second=" << kNodes << "\n";
  EXPECT_GT(down, 0U);
  EXPECT_LT(down, 500U);
  EXPECT_LT(stale, 500U);
}

// Guards against a fleet that permanently exceeds the call rate limit of the service: without the
// platform's instance list each node knows only itself and considers itself a reader.
TEST_F(ConfigurationReaderTest, ThrottledNodesBackOffBelowTheCallRate) {
  constexpr std::size_t kNodes = 10000;
  this->service.published = 5;
  this->Add(kNodes, 0);
  this->Run(seconds(120), milliseconds(250));
  const Duration from = this->now;
  this->Run(seconds(60), milliseconds(250));
  std::cout << "throttled nodes=" << kNodes
            << " busiest_second_ever=" << this->service.PeakCallsPerSecond()
            << " busiest_second=" << this->service.PeakCallsPerSecond(from) << "\n";
  EXPECT_LT(this->service.PeakCallsPerSecond(from), FakeConfigurationService::kCallRateLimit);
  for (const auto& node : this->nodes) {
    EXPECT_EQ(node->store.VersionOf("manifest"), 5U);
  }
}

// Guards against readers that exceed the call rate planned for the target fleet: 37 zones with 3
// readers each, and 0.88 changes per second.
TEST_F(ConfigurationReaderTest, ReadersOfTheTargetFleetStayBelowThePlannedCallRate) {
  this->service.published = 1;
  this->Add(111, 0);
  this->Run(seconds(3));
  const Duration from = this->now;
  for (int i = 0; i < 60; ++i) {
    ++this->service.published;
    this->Run(milliseconds(1140));
  }
  const double seconds_run = std::chrono::duration<double>(this->now - from).count();
  const double rate = static_cast<double>(this->service.TotalCalls(from)) / seconds_run;
  std::cout << "readers=111 calls_per_second=" << rate
            << " busiest_second=" << this->service.PeakCallsPerSecond(from) << "\n";
  // 111 readers, each with 0.88 calls per second for changes and one watch renewal every 5 s.
  EXPECT_LT(rate, 121);
  EXPECT_LT(this->service.PeakCallsPerSecond(from), 500U);
  for (const auto& node : this->nodes) {
    EXPECT_EQ(node->store.VersionOf("manifest"), this->service.published);
  }
}

}  // namespace
}  // namespace masticpin
