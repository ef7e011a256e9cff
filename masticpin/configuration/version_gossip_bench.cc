#include "masticpin/configuration/version_gossip.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <vector>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 37;

// Bytes that the transport adds to an envelope: ZeroMQ framing, CURVE and TCP/IP headers. The
// sender, epoch, version and load are actual fields of the envelopes and are not included.
constexpr std::size_t kTransportBytes = 120;

// Gossip objects of a whole fleet, which share one member table and one clock, and a network with
// the delays of zones in ten regions. The table belongs to none of the nodes, so a node may choose
// itself as a peer; this happens for one in (number of nodes) messages.
class GossipFleet {
 public:
  GossipFleet(std::size_t size, std::size_t document_size, std::uint64_t drop_percent)
      : random(1),
        members(this->clock, MakeObserver()),
        document_size(document_size),
        drop_percent(drop_percent) {
    for (std::size_t i = 0; i < size; ++i) {
      wire::Member member;
      member.set_name("instance-" + std::to_string(i));
      member.set_incarnation(i + 1000);
      member.set_service("service-" + std::to_string(i % 1200));
      member.set_zone("region-" + std::to_string(i % kZones % 10) + "-zone-" +
                      std::to_string(i % kZones));
      member.set_peer_endpoint("tcp://10.0." + std::to_string(i / 250) + "." +
                               std::to_string(i % 250) + ":7100");
      this->members.ApplySender(member, 1);
    }
    // Member changes caused by the start are not part of the measurement.
    this->clock.Advance(seconds(5));
    for (std::size_t i = 0; i < size; ++i) {
      this->nodes.push_back(std::make_unique<Node>(*this, i));
    }
    for (const auto& node : this->nodes) {
      node->gossip.Start();
    }
  }

  // Publishes a version to `readers` nodes and returns the time that each node took to accept it.
  std::vector<Duration> Publish(std::uint64_t version, std::size_t readers) {
    const std::string bytes(this->document_size, 'x');
    this->published_version = version;
    this->accepted.clear();
    this->published_at = this->clock.Now();
    for (std::size_t i = 0; i < readers; ++i) {
      // Node i is in zone i % kZones, so each of these nodes is in another zone.
      this->nodes[i]->store.Offer("manifest", version, bytes, DocumentSource{});
    }
    while (this->accepted.size() < this->nodes.size() &&
           this->clock.Now() - this->published_at < seconds(60)) {
      this->RunFor(milliseconds(20));
    }
    return this->accepted;
  }

  void RunFor(Duration length) {
    const TimePoint end = this->clock.Now() + length;
    for (;;) {
      // Timers and messages are processed in time order.
      const TimePoint event_at = this->events.empty() ? TimePoint::max() : this->events.top().at;
      const TimePoint next = std::min(event_at, this->clock.NextDue().value_or(event_at));
      if (next > end) {
        break;
      }
      this->clock.Advance(std::max(next - this->clock.Now(), Duration::zero()));
      if (event_at <= this->clock.Now()) {
        const Event event = this->events.top();
        this->events.pop();
        this->Handle(event);
      }
    }
    this->clock.Advance(end - this->clock.Now());
  }

  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  // Maximum number of bytes sent by a single node.
  std::uint64_t MaxNodeBytes() const {
    std::uint64_t max_bytes = 0;
    for (const auto& node : this->nodes) {
      max_bytes = std::max(max_bytes, node->bytes);
    }
    return max_bytes;
  }
  void ResetCounts() {
    this->messages = 0;
    this->bytes = 0;
    for (const auto& node : this->nodes) {
      node->bytes = 0;
    }
  }

 private:
  class AcceptAll : public DocumentValidator {
   public:
    std::string Validate(std::string_view, std::uint64_t, std::string_view) override { return {}; }
  };

  struct Node : public EnvelopeSender, public DocumentListener {
    Node(GossipFleet& fleet, std::size_t number)
        : fleet(fleet),
          number(number),
          store(fleet.clock, fleet.validator),
          transfer(this->store, *this, fleet.clock, fleet.clock),
          readers(fleet.members, fleet.clock),
          gossip(this->store,
                 this->transfer,
                 this->readers,
                 fleet.members,
                 *this,
                 fleet.clock,
                 fleet.clock,
                 fleet.random) {
      this->store.AddListener(*this);
    }

    void Send(const InstanceId& to, wire::Envelope envelope) override {
      this->fleet.Send(*this, to, envelope);
    }
    void SendToEndpoint(const std::string& /*endpoint*/, wire::Envelope /*envelope*/) override {}
    void OnDocument(const Document& document) override {
      if (document.version == this->fleet.published_version) {
        this->fleet.accepted.push_back(this->fleet.clock.Now() - this->fleet.published_at);
      }
    }

    GossipFleet& fleet;
    const std::size_t number;
    std::uint64_t bytes = 0;
    DocumentStore store;
    DocumentTransfer transfer;
    ReaderSelection readers;
    VersionGossip gossip;
  };

  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::uint32_t from;
    std::uint32_t to;
    std::shared_ptr<const wire::Envelope> envelope;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  static Member MakeObserver() {
    Member self;
    self.id = InstanceId{"observer", 1};
    return self;
  }

  Duration DelayBetween(std::size_t from, std::size_t to) {
    // 1.4 ms within a region and 60 ms between regions, plus up to 50%.
    const bool same_region = from % kZones % 10 == to % kZones % 10;
    const auto base = same_region ? microseconds(1400) : microseconds(60000);
    return base + Duration(this->random.NextBelow(static_cast<std::uint64_t>(
                      std::chrono::duration_cast<Duration>(base).count() / 2)));
  }

  void Send(Node& from, const InstanceId& to, wire::Envelope& envelope) {
    if (to.incarnation < 1000) {
      // The observer is in the member table but is not a node.
      return;
    }
    *envelope.mutable_sender() = this->SenderOf(from.number);
    envelope.set_epoch(1);
    envelope.set_configuration_version(from.store.VersionOf("manifest"));
    envelope.mutable_load()->set_limit(60);
    envelope.mutable_load()->set_in_flight(30);
    const std::size_t size = envelope.ByteSizeLong() + kTransportBytes;
    ++this->messages;
    this->bytes += size;
    from.bytes += size;
    if (this->random.NextBelow(100) < this->drop_percent) {
      return;
    }
    const std::size_t target = to.incarnation - 1000;
    this->events.push(Event{this->clock.Now() + this->DelayBetween(from.number, target),
                            ++this->order, static_cast<std::uint32_t>(from.number),
                            static_cast<std::uint32_t>(target),
                            std::make_shared<const wire::Envelope>(std::move(envelope))});
  }

  wire::Member SenderOf(std::size_t i) const {
    wire::Member member;
    const Ref<const Member> known = this->members.Find("instance-" + std::to_string(i));
    member.set_name(known->id.name);
    member.set_incarnation(known->id.incarnation);
    member.set_service(known->service);
    member.set_zone(known->zone);
    member.set_peer_endpoint(known->peer_endpoint);
    return member;
  }

  void Handle(const Event& event) {
    Node& node = *this->nodes[event.to];
    const wire::Envelope& envelope = *event.envelope;
    const InstanceId from{envelope.sender().name(), envelope.sender().incarnation()};
    node.gossip.OnVersionSeen(from, "manifest", envelope.configuration_version());
    if (envelope.has_version_digest()) {
      node.gossip.OnDigest(from, envelope.version_digest());
    } else if (envelope.has_document_request()) {
      node.transfer.OnRequest(from, envelope.document_request());
    } else if (envelope.has_document_piece()) {
      node.transfer.OnPiece(from, envelope.document_piece());
    }
  }

  FakeClock clock;
  SeededRandom random;
  MemberTable members;
  const std::size_t document_size;
  const std::uint64_t drop_percent;
  AcceptAll validator;
  std::vector<std::unique_ptr<Node>> nodes;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  std::uint64_t published_version = 0;
  TimePoint published_at{};
  std::vector<Duration> accepted;
};

// Arguments: number of nodes, document size in bytes, percentage of lost messages.
void SpreadVersion(benchmark::State& state) {
  for (auto _ : state) {
    const auto size = static_cast<std::size_t>(state.range(0));
    GossipFleet fleet(size, static_cast<std::size_t>(state.range(1)),
                      static_cast<std::uint64_t>(state.range(2)));
    fleet.Publish(1, 3);
    fleet.RunFor(seconds(2));

    // Idle traffic, without new versions.
    fleet.ResetCounts();
    fleet.RunFor(seconds(4));
    const auto nodes = static_cast<double>(size);
    state.counters["idle_msgs_per_s"] = static_cast<double>(fleet.messages) / nodes / 4;
    state.counters["idle_bytes_per_s"] = static_cast<double>(fleet.bytes) / nodes / 4;

    // One new version, published to one reader.
    fleet.ResetCounts();
    const std::vector<Duration> times = fleet.Publish(2, 1);
    const auto length = std::chrono::duration<double>(times.back()).count();
    const auto ms = [](Duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
    state.counters["reached"] = static_cast<double>(times.size());
    state.counters["p50_ms"] = ms(times[times.size() / 2]);
    state.counters["p99_ms"] = ms(times[times.size() * 99 / 100]);
    state.counters["all_ms"] = ms(times.back());
    fleet.RunFor(seconds(1));
    const double idle = state.counters["idle_bytes_per_s"] * (length + 1);
    state.counters["bytes_per_version"] = static_cast<double>(fleet.bytes) / nodes - idle;
    state.counters["most_bytes_of_a_node"] = static_cast<double>(fleet.MaxNodeBytes());
  }
}
BENCHMARK(SpreadVersion)
    ->ArgNames({"nodes", "size", "drop"})
    ->Args({13, 2000, 0})
    ->Args({50, 2000, 0})
    ->Args({100, 2000, 0})
    ->Args({200, 2000, 0})
    ->Args({1000, 2000, 0})
    ->Args({1000, 2000, 5})
    ->Args({1000, 200000, 0})
    ->Args({15000, 2000, 0})
    ->Args({15000, 2000, 5})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace masticpin
