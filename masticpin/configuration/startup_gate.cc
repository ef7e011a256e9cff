#include "masticpin/configuration/startup_gate.h"

#include <algorithm>
#include <utility>

namespace masticpin {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(10);

}  // namespace

StartupGate::StartupGate(std::string document,
                         DocumentStore& store,
                         VersionGossip& gossip,
                         MemberTable& members,
                         ConfigurationServiceClient& client,
                         const Clock& clock,
                         TimerService& timers,
                         RandomSource& random,
                         Settings settings)
    : document(std::move(document)),
      store(store),
      gossip(gossip),
      members(members),
      client(client),
      clock(clock),
      timers(timers),
      random(random),
      settings(settings) {}

StartupGate::~StartupGate() {
  if (this->service_call != 0) {
    this->client.Cancel(this->service_call);
  }
}

void StartupGate::Start() {
  const TimePoint now = this->clock.Now();
  this->started = true;
  this->retry_interval = this->settings.retry_interval;
  this->service_backoff = this->settings.initial_backoff;
  // At least 1 ns, because the bound of NextBelow() must not be 0.
  const Duration spread = this->ServiceSpreadInterval(Duration(1));
  this->service_due =
      now + Duration(this->random.NextBelow(static_cast<std::uint64_t>(spread.count())));
  this->next_peer_query = now;
  this->OnTimer(now);
}

void StartupGate::OnTimer(TimePoint now) {
  this->UpdateWaitTime(now);
  this->TryOpen(now);
  if (this->open) {
    return;
  }
  if (now >= this->next_peer_query) {
    this->QueryPeers();
    this->next_peer_query = now + this->retry_interval;
    this->retry_interval = std::min(this->retry_interval * 2, this->settings.max_retry_interval);
  }
  if (now >= this->service_due && this->service_call == 0) {
    this->QueryService();
  }
  // The gate is checked at short intervals, because a transfer from a peer may make a document
  // current at any time.
  this->timers.Schedule(*this, now + kCheckInterval);
}

void StartupGate::UpdateWaitTime(TimePoint now) {
  if (this->document_found) {
    this->waited += std::min<Duration>(now - this->last_tick, 2 * kCheckInterval);
  }
  this->last_tick = now;
}

void StartupGate::QueryPeers() {
  // If no peer has responded after several retries, other peers are queried instead.
  if (this->responded.empty() && this->retry_interval >= this->settings.max_retry_interval) {
    this->queried.clear();
  }
  for (const std::string& name : this->queried) {
    const Ref<const Member> peer = this->members.Find(std::string_view(name));
    if (peer != nullptr && !this->responded.contains(name)) {
      this->gossip.SendDigest(peer->id, true);
    }
  }
  for (const Ref<const Member>& peer :
       this->members.RandomPeers(this->settings.peers, this->random)) {
    if (this->queried.size() < this->settings.peers && this->queried.insert(peer->id.name).second) {
      this->gossip.SendDigest(peer->id, true);
    }
  }
}

void StartupGate::QueryService() {
  this->service_call =
      this->client.Read(this->document, 0, Duration::zero(), [this](ServiceResponse response) {
        this->service_call = 0;
        this->OnServiceResponse(std::move(response));
      });
}

void StartupGate::OnServiceResponse(ServiceResponse response) {
  const TimePoint now = this->clock.Now();
  this->service_responded = true;
  const Duration spread = this->ServiceSpreadInterval(this->service_backoff);
  this->service_due = now + spread / 2 +
                      Duration(this->random.NextBelow(static_cast<std::uint64_t>(spread.count())));
  this->service_backoff = std::min(this->service_backoff * 2, this->settings.max_backoff);
  if (response.status == ServiceStatus::kValue) {
    this->store.Offer(this->document, response.version, std::move(response.bytes),
                      DocumentSource{DocumentSourceKind::kService, {}});
  }
  this->TryOpen(now);
}

void StartupGate::OnDigest(const InstanceId& from, const wire::VersionDigest& digest) {
  if (!this->started || this->open || !this->queried.contains(from.name)) {
    return;
  }
  this->responded.insert(from.name);
  for (const wire::DocumentVersion& held : digest.documents()) {
    // A version that this node has rejected must not keep the gate closed.
    if (held.name() == this->document &&
        this->store.ShouldFetch(held.name(), held.version(), held.digest())) {
      this->highest_announced = std::max<std::uint64_t>(this->highest_announced, held.version());
    }
  }
  this->TryOpen(this->clock.Now());
}

Duration StartupGate::ServiceSpreadInterval(Duration backoff) const {
  const std::chrono::duration<double> fleet(static_cast<double>(this->members.Members().size()) /
                                            this->settings.fleet_call_rate);
  return std::max(backoff, std::chrono::duration_cast<Duration>(fleet));
}

bool StartupGate::SourcesSettled(TimePoint now) const {
  if (this->waited >= this->settings.settle_time) {
    return true;
  }
  const bool all_peers_responded = this->responded.size() == this->queried.size();
  // The service is not waited for if its read is due only after the settle time.
  const TimePoint settled_at = now + this->settings.settle_time - this->waited;
  return all_peers_responded && (this->service_responded || this->service_due > settled_at);
}

void StartupGate::TryOpen(TimePoint now) {
  const std::uint64_t held = this->store.VersionOf(this->document);
  const bool any_version_known = held != 0 || this->highest_announced != 0;
  if (this->open || !this->started || !any_version_known) {
    return;
  }
  this->document_found = true;
  // The gate waits longer for a version that a peer announced (fetch_timeout) than for further
  // responses (settle_time).
  const bool complete = held >= this->highest_announced && this->SourcesSettled(now);
  const bool timed_out = this->waited >= this->settings.fetch_timeout;
  if (held != 0 && (complete || timed_out)) {
    this->open = true;
    this->source = this->store.Find(this->document)->source.ToString();
    this->timers.Cancel(*this);
  }
}

}  // namespace masticpin
