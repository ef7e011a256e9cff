#include "masticpin/configuration/startup_gate.h"

#include <algorithm>
#include <utility>

namespace masticpin {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);

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
  this->repeat = this->settings.repeat;
  this->service_backoff = this->settings.first_backoff;
  const Duration spread = this->ServiceSpread(Duration(1));
  this->service_due =
      now + Duration(this->random.Below(static_cast<std::uint64_t>(spread.count())));
  this->next_ask = now;
  this->OnTimer(now);
}

void StartupGate::OnTimer(TimePoint now) {
  this->AddWaitingTime(now);
  this->TryOpen(now);
  if (this->open) {
    return;
  }
  if (now >= this->next_ask) {
    this->AskPeers();
    this->next_ask = now + this->repeat;
    this->repeat = std::min(this->repeat * 2, this->settings.longest_repeat);
  }
  if (now >= this->service_due && this->service_call == 0) {
    this->AskService();
  }
  // The gate is looked at in short steps, because a document may come into force by a transfer.
  this->timers.Schedule(*this, now + kStep);
}

void StartupGate::AddWaitingTime(TimePoint now) {
  if (this->any_answer) {
    this->waited += std::min<Duration>(now - this->last_tick, 2 * kStep);
  }
  this->last_tick = now;
}

void StartupGate::AskPeers() {
  // Peers that stay silent are given up after some repetitions in favour of others.
  if (this->answered.empty() && this->repeat >= this->settings.longest_repeat) {
    this->asked.clear();
  }
  for (const std::string& name : this->asked) {
    const Ref<const Member> peer = this->members.Find(std::string_view(name));
    if (peer != nullptr && !this->answered.contains(name)) {
      this->gossip.SendDigest(peer->id, true);
    }
  }
  for (const Ref<const Member>& peer :
       this->members.RandomPeers(this->settings.peers, this->random)) {
    if (this->asked.size() < this->settings.peers && this->asked.insert(peer->id.name).second) {
      this->gossip.SendDigest(peer->id, true);
    }
  }
}

void StartupGate::AskService() {
  this->service_call =
      this->client.Read(this->document, 0, Duration::zero(), [this](ServiceAnswer answer) {
        this->service_call = 0;
        this->OnServiceAnswer(std::move(answer));
      });
}

void StartupGate::OnServiceAnswer(ServiceAnswer answer) {
  const TimePoint now = this->clock.Now();
  this->service_answered = true;
  const Duration spread = this->ServiceSpread(this->service_backoff);
  this->service_due =
      now + spread / 2 + Duration(this->random.Below(static_cast<std::uint64_t>(spread.count())));
  this->service_backoff = std::min(this->service_backoff * 2, this->settings.longest_backoff);
  if (answer.status == ServiceStatus::kValue) {
    this->store.Offer(this->document, answer.version, std::move(answer.bytes),
                      DocumentSource{DocumentSourceKind::kService, {}});
  }
  this->TryOpen(now);
}

void StartupGate::OnDigest(const InstanceId& from, const wire::VersionDigest& digest) {
  if (!this->started || this->open || !this->asked.contains(from.name)) {
    return;
  }
  this->answered.insert(from.name);
  for (const wire::DocumentVersion& held : digest.documents()) {
    // A version that was refused here must not keep the gate closed.
    if (held.name() == this->document &&
        this->store.Wants(held.name(), held.version(), held.digest())) {
      this->highest = std::max<std::uint64_t>(this->highest, held.version());
    }
  }
  this->TryOpen(this->clock.Now());
}

Duration StartupGate::ServiceSpread(Duration backoff) const {
  const std::chrono::duration<double> fleet(static_cast<double>(this->members.Members().size()) /
                                            this->settings.fleet_rate);
  return std::max(backoff, std::chrono::duration_cast<Duration>(fleet));
}

bool StartupGate::SourcesSettled(TimePoint now) const {
  if (this->waited >= this->settings.settle) {
    return true;
  }
  const bool peers_done = this->answered.size() == this->asked.size();
  const TimePoint settled_at = now + this->settings.settle - this->waited;
  return peers_done && (this->service_answered || this->service_due > settled_at);
}

void StartupGate::TryOpen(TimePoint now) {
  const std::uint64_t held = this->store.VersionOf(this->document);
  const bool source_answered = held != 0 || this->highest != 0;
  if (this->open || !this->started || !source_answered) {
    return;
  }
  this->any_answer = true;
  // A version that a peer announced is waited for longer than for further answers.
  const bool complete = held >= this->highest && this->SourcesSettled(now);
  const bool given_up = this->waited >= this->settings.fetch_wait;
  if (held != 0 && (complete || given_up)) {
    this->open = true;
    this->source = this->store.Find(this->document)->source.ToString();
    this->timers.Cancel(*this);
  }
}

}  // namespace masticpin
