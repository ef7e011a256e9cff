#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "masticpin/fleet/fleet_state.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/fake_configuration_service.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {

/// A few FleetState objects and a peer network that delays, duplicates and drops messages and can
/// be partitioned. Each process has its own clock, so that it can be paused.
class FakeFleet {
 public:
  struct Options {
    std::size_t nodes = 13;
    std::size_t zones = 3;
    std::size_t services = 4;
    std::uint64_t seed = 1;
    Duration step = std::chrono::milliseconds(5);
    /// Probabilities, in percent, that a message is dropped, and that a late copy of a message is
    /// delivered in addition to it.
    std::uint64_t drop_percent = 0;
    std::uint64_t late_percent = 0;
    /// Maximum delay of a late copy.
    Duration late = std::chrono::seconds(3);
  };

  class AcceptAll : public DocumentValidator {
   public:
    std::string Validate(std::string_view, std::uint64_t, std::string_view) override { return {}; }
  };

  struct Process : public EnvelopeSender {
    Process(FakeFleet& fleet, std::size_t node, Member self, std::uint64_t seed)
        : fleet(fleet),
          node(node),
          random(seed),
          client(fleet.service, node),
          state(std::move(self),
                this->validator,
                this->client,
                *this,
                this->clock,
                this->clock,
                this->random) {}

    void Send(const InstanceId& to, wire::Envelope envelope) override {
      this->state.FillEnvelopeHeader(1, envelope);
      this->fleet.Deliver(this->node, to.name, std::move(envelope));
    }

    void SendToEndpoint(const std::string& endpoint, wire::Envelope envelope) override {
      this->Send(InstanceId{endpoint, 0}, std::move(envelope));
    }

    FakeFleet& fleet;
    std::size_t node;
    AcceptAll validator;
    FakeClock clock;
    SeededRandom random;
    FakeServiceClient client;
    FleetState state;
  };

  struct Node {
    std::string name;
    std::string service;
    std::string zone;
    std::unique_ptr<Process> process;
    bool paused = false;
    Duration paused_for{};
    /// Messages by the time of their arrival.
    std::multimap<Duration, wire::Envelope> inbox;
  };

  explicit FakeFleet(Options options) : options(options), random(options.seed) {
    for (std::size_t i = 0; i < options.nodes; ++i) {
      Node node;
      node.name = "n" + std::to_string(i);
      node.zone = "z" + std::to_string(i % options.zones);
      node.service = "s" + std::to_string(i % options.services);
      this->positions[node.name] = i;
      this->list.push_back(ListedInstance{node.name, node.service, node.zone, "http-" + node.name,
                                          node.name, false});
      this->nodes.push_back(std::move(node));
    }
    this->partition_ids.assign(options.nodes, 0);
  }

  /// Starts a process for node `i` with the platform's current list.
  void Start(std::size_t i) {
    Node& node = this->nodes[i];
    Member self;
    self.id = InstanceId{node.name, this->random.Next() | 1};
    self.service = node.service;
    self.zone = node.zone;
    self.peer_endpoint = node.name;
    node.process = std::make_unique<Process>(*this, i, std::move(self), this->random.Next());
    FleetState& state = node.process->state;
    state.Members().ApplyList(this->list);
    state.Start();
    std::vector<std::string> services;
    for (std::size_t s = 0; s < this->options.services; ++s) {
      services.push_back("s" + std::to_string(s));
    }
    state.SetServicesInUse(std::move(services));
  }

  void StartAll() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Start(i);
    }
  }

  void Kill(std::size_t i) {
    this->nodes[i].process.reset();
    this->nodes[i].paused = false;
  }

  void Pause(std::size_t i) {
    this->nodes[i].paused = this->nodes[i].process != nullptr;
    this->nodes[i].paused_for = Duration::zero();
  }

  /// Resumes a node. Its waiting messages are handled before or after its timers, or are lost.
  enum class ResumeOrder : std::uint8_t { kTimersFirst, kMessagesFirst, kMessagesLost };
  void Resume(std::size_t i, ResumeOrder order) {
    Node& node = this->nodes[i];
    if (!node.paused) {
      return;
    }
    node.paused = false;
    if (order == ResumeOrder::kMessagesLost) {
      node.inbox.clear();
    }
    if (order == ResumeOrder::kMessagesFirst) {
      // The clock has moved, but no timer has run.
      node.process->clock.Jump(node.paused_for);
      this->HandleInbox(node);
      node.process->clock.Pause(Duration::zero());
      return;
    }
    node.process->clock.Pause(node.paused_for);
  }

  bool IsRunning(std::size_t i) const {
    return this->nodes[i].process != nullptr && !this->nodes[i].paused;
  }

  bool Connected(std::size_t a, std::size_t b) const {
    return this->partition_ids[a] == this->partition_ids[b];
  }

  FleetState& State(std::size_t i) { return this->nodes[i].process->state; }

  /// Active version on node `i`; 0 while the node does not run or does not serve yet.
  std::uint64_t VersionOf(std::size_t i) {
    return this->nodes[i].process != nullptr && this->State(i).Gate().IsOpen()
               ? this->State(i).Documents().VersionOf("manifest")
               : 0;
  }

  /// Advances the time by one step.
  void Step() {
    this->now += this->options.step;
    this->service.SetNow(this->now);
    for (Node& node : this->nodes) {
      if (node.process == nullptr) {
        node.inbox.clear();
      } else if (node.paused) {
        node.paused_for += this->options.step;
      } else {
        this->HandleInbox(node);
        node.process->client.Poll();
        node.process->clock.Advance(this->options.step);
      }
    }
  }

  void Run(Duration duration) {
    for (const Duration end = this->now + duration; this->now < end;) {
      this->Step();
    }
  }

  /// Runs until `condition` holds, for at most `limit`; returns the time taken.
  template <typename Condition>
  Duration RunUntil(Duration limit, Condition condition) {
    const Duration start = this->now;
    while (!condition() && this->now - start < limit) {
      this->Step();
    }
    return this->now - start;
  }

  void Deliver(std::size_t from, const std::string& to, wire::Envelope envelope) {
    const auto position = this->positions.find(to);
    if (position == this->positions.end()) {
      return;
    }
    ++this->messages;
    const std::size_t target = position->second;
    if (!this->Connected(from, target) ||
        this->random.NextBelow(100) < this->options.drop_percent) {
      return;
    }
    Duration delay = std::chrono::milliseconds(1 + this->random.NextBelow(3));
    if (this->random.NextBelow(100) < this->options.late_percent) {
      // Send a late copy in addition to the regular message.
      const Duration late(
          this->random.NextBelow(static_cast<std::uint64_t>(this->options.late.count())));
      this->nodes[target].inbox.emplace(this->now + late, envelope);
    }
    this->nodes[target].inbox.emplace(this->now + delay, std::move(envelope));
  }

  Options options;
  SeededRandom random;
  FakeConfigurationService service;
  std::vector<Node> nodes;
  std::vector<ListedInstance> list;
  /// Partition number of each node. Nodes with different numbers cannot reach each other.
  std::vector<int> partition_ids;
  Duration now{};
  std::uint64_t messages = 0;

 private:
  void HandleInbox(Node& node) {
    while (!node.inbox.empty() && node.inbox.begin()->first <= this->now) {
      const wire::Envelope envelope = std::move(node.inbox.begin()->second);
      node.inbox.erase(node.inbox.begin());
      node.process->state.OnEnvelope(envelope);
    }
  }

  std::map<std::string, std::size_t> positions;
};

}  // namespace masticpin
