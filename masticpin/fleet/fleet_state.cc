#include "masticpin/fleet/fleet_state.h"

#include <algorithm>
#include <utility>

namespace masticpin {

namespace {

// Added to the length of a pause when a node requests the changes that it missed: some changes from
// before the pause may still have been in transit.
constexpr Duration kChangesMargin = std::chrono::seconds(10);

// Maximum number of member changes in a Pong: about 100 bytes each, far below the size limit of an
// envelope.
constexpr std::size_t kMaxPongChanges = 4096;

LoadReport FromWire(const wire::LoadReport& load) {
  return LoadReport{load.limit(), load.in_flight(), load.queued(), load.threshold()};
}

}  // namespace

FleetState::FleetState(Member self,
                       DocumentValidator& validator,
                       ConfigurationServiceClient& client,
                       EnvelopeSender& sender,
                       const Clock& clock,
                       TimerService& timers,
                       RandomSource& random,
                       Settings settings)
    : settings(std::move(settings)),
      sender(sender),
      clock(clock),
      timers(timers),
      random(random),
      members(clock, std::move(self), this->settings.membership),
      thresholds(clock),
      balancer(this->members, this->thresholds, clock, random, this->settings.routing),
      store(clock, validator),
      transfer(this->store, sender, clock, timers, this->settings.transfer),
      readers(this->members, clock, this->settings.readers),
      gossip(this->store,
             this->transfer,
             this->readers,
             this->members,
             sender,
             clock,
             timers,
             random,
             this->settings.gossip),
      reader(this->settings.document,
             this->store,
             this->readers,
             client,
             clock,
             timers,
             random,
             this->settings.reader),
      gate(this->settings.document,
           this->store,
           this->gossip,
           this->members,
           client,
           clock,
           timers,
           random,
           this->settings.startup),
      pause_detector(clock, timers, [this](Duration length) { this->OnPause(length); }) {}

void FleetState::Start() {
  this->pause_detector.Start();
  this->gossip.Start();
  this->gate.Start();
  this->timers.Schedule(*this, this->clock.Now() + this->settings.ping_check_interval);
}

bool FleetState::OnEnvelope(const wire::Envelope& envelope) {
  // Messages that queued up during a pause may be handled before any timer.
  this->pause_detector.Check();
  const InstanceId from{envelope.sender().name(), envelope.sender().incarnation()};
  this->ApplySender(from, envelope);
  return this->HandleBody(from, envelope);
}

void FleetState::ApplySender(const InstanceId& from, const wire::Envelope& envelope) {
  const MemberUpdateResult update_result =
      this->members.ApplySender(envelope.sender(), envelope.epoch(), this->IsReplyToPing(envelope));
  if (update_result == MemberUpdateResult::kConflict) {
    this->PingClaimedInstance(envelope.sender());
  }
  if (update_result == MemberUpdateResult::kApplied && envelope.has_load()) {
    this->balancer.OnLoad(from, FromWire(envelope.load()));
  }
  this->gossip.OnVersionSeen(from, this->settings.document, envelope.configuration_version());
}

bool FleetState::IsReplyToPing(const wire::Envelope& envelope) const {
  if (!envelope.has_pong()) {
    return false;
  }
  const auto ping = this->pings.find(envelope.pong().id());
  return ping != this->pings.end() && ping->second.to.name == envelope.sender().name();
}

bool FleetState::HandleBody(const InstanceId& from, const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kVersionDigest:
      this->gossip.OnDigest(from, envelope.version_digest());
      this->gate.OnDigest(from, envelope.version_digest());
      return true;
    case wire::Envelope::kDocumentRequest:
      this->transfer.OnRequest(from, envelope.document_request());
      return true;
    case wire::Envelope::kDocumentPiece:
      this->transfer.OnPiece(from, envelope.document_piece());
      return true;
    case wire::Envelope::kMemberUpdate:
      this->ApplyUpdate(envelope.member_update());
      return true;
    case wire::Envelope::kLeaveNotice:
      this->members.ApplyLeave(from);
      return true;
    case wire::Envelope::kPing:
      this->OnPing(from, envelope.ping());
      return true;
    case wire::Envelope::kPong:
      if (this->IsReplyToPing(envelope)) {
        this->OnPong(from, envelope.pong());
      }
      return true;
    default:
      return false;
  }
}

void FleetState::OnPing(const InstanceId& from, const wire::Ping& ping) {
  wire::Envelope envelope;
  wire::Pong& pong = *envelope.mutable_pong();
  pong.set_id(ping.id());
  if (ping.changes_wanted_ms() > 0) {
    const Duration wanted = std::min<Duration>(std::chrono::milliseconds(ping.changes_wanted_ms()),
                                               this->settings.membership.tombstone_lifetime);
    *pong.mutable_changes() = this->members.RecentChanges(wanted, kMaxPongChanges);
  }
  this->sender.Send(from, std::move(envelope));
}

void FleetState::OnPong(const InstanceId& from, const wire::Pong& pong) {
  this->last_ping_by_name.erase(from.name);
  this->pings.erase(pong.id());
  this->members.OnSuccess(from);
  this->members.Verify(from);
  if (pong.has_changes()) {
    this->ApplyUpdate(pong.changes());
    this->recheck_replied = true;
  }
}

void FleetState::ApplyUpdate(const wire::MemberUpdate& update) {
  for (const wire::Member& claimed_member : this->members.ApplyUpdate(update)) {
    this->PingClaimedInstance(claimed_member);
  }
}

void FleetState::PingClaimedInstance(const wire::Member& claimed_member) {
  // A lost Ping is retried when the claim is received again, but at most once per interval, so that
  // a burst of messages with the same claim causes only one Ping.
  const auto last = this->last_ping_by_name.find(claimed_member.name());
  if (last != this->last_ping_by_name.end() &&
      this->clock.Now() - this->pings.at(last->second).sent_at <
          this->settings.ping_check_interval) {
    return;
  }
  const InstanceId id{claimed_member.name(), claimed_member.incarnation()};
  this->sender.SendToEndpoint(claimed_member.peer_endpoint(), this->MakePing(id, Duration::zero()));
}

void FleetState::OnPause(Duration length) {
  ++this->pauses;
  const TimePoint now = this->clock.Now();
  this->balancer.ForgetLoads();
  this->members.MarkUnverified();
  // Replies to earlier pings may have waited in a buffer during the pause, so they verify nothing.
  this->pings.clear();
  this->last_ping_by_name.clear();
  this->rechecking = true;
  this->recheck_replied = false;
  this->recheck_until = now + this->settings.recheck_wait;
  for (const Ref<const Member>& peer :
       this->members.RandomPeers(this->settings.recheck_peers, this->random)) {
    this->sender.Send(peer->id, this->MakePing(peer->id, length + kChangesMargin));
    this->gossip.SendDigest(peer->id, true);
  }
  this->PingMembersInUse(now);
}

bool FleetState::Ready() {
  this->pause_detector.Check();
  if (this->rechecking) {
    const bool current = this->recheck_replied && !this->transfer.IsFetching();
    this->rechecking = !current && this->clock.Now() < this->recheck_until;
  }
  return this->gate.IsOpen() && !this->rechecking;
}

void FleetState::FillEnvelopeHeader(std::uint32_t epoch, wire::Envelope& envelope) const {
  const Member& self = this->members.Self();
  wire::Member& sender = *envelope.mutable_sender();
  sender.set_name(self.id.name);
  sender.set_incarnation(self.id.incarnation);
  sender.set_service(self.service);
  sender.set_zone(self.zone);
  sender.set_peer_endpoint(self.peer_endpoint);
  sender.set_leaving(self.state == MemberState::kLeaving);
  envelope.set_epoch(epoch);
  envelope.set_configuration_version(this->store.VersionOf(this->settings.document));
}

void FleetState::Leave() {
  this->members.MarkSelfLeaving();
  for (const Ref<Member>& member : this->members.Members()) {
    if (!member->self && member->state != MemberState::kLeaving) {
      wire::Envelope envelope;
      envelope.mutable_leave_notice();
      this->sender.Send(member->id, std::move(envelope));
    }
  }
}

void FleetState::SetServicesInUse(std::vector<std::string> services) {
  this->services_in_use = std::move(services);
  this->PingMembersInUse(this->clock.Now());
}

void FleetState::OnTimer(TimePoint now) {
  this->timers.Schedule(*this, now + this->settings.ping_check_interval);
  if (this->pause_detector.Check()) {
    return;
  }
  if (!this->reader_started && this->gate.IsOpen()) {
    // Before the gate opens, the platform's list may be missing, and a node that knows only itself
    // would choose itself as a reader. Until then the gate reads the configuration service.
    this->reader_started = true;
    this->reader.Start();
  }
  this->ExpirePings(now);
  this->PingMembersInUse(now);
}

void FleetState::PingMembersInUse(TimePoint now) {
  for (const std::string& service : this->services_in_use) {
    for (const Ref<const Member>& member : this->balancer.Subset(service)) {
      if (!this->last_ping_by_name.contains(member->id.name) && this->NeedsPing(*member, now)) {
        this->members.OnProbe(member->id);
        this->sender.Send(member->id, this->MakePing(member->id, Duration::zero()));
      }
    }
  }
}

bool FleetState::NeedsPing(const Member& member, TimePoint now) const {
  if (member.self || member.state == MemberState::kLeaving) {
    return false;
  }
  if (member.state == MemberState::kUnreachable) {
    return member.retry_at <= now;
  }
  return !member.HasContact() || member.unverified ||
         now - member.last_contact >= this->settings.ping_after_silence;
}

wire::Envelope FleetState::MakePing(const InstanceId& to, Duration changes_wanted) {
  wire::Envelope envelope;
  wire::Ping& ping = *envelope.mutable_ping();
  ping.set_id(++this->last_ping);
  ping.set_changes_wanted_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(changes_wanted).count()));
  this->pings[this->last_ping] = PingState{to, this->clock.Now()};
  this->last_ping_by_name[to.name] = this->last_ping;
  return envelope;
}

void FleetState::ExpirePings(TimePoint now) {
  // Ids increase with the time of sending, so the oldest ping comes first.
  while (!this->pings.empty() &&
         now - this->pings.begin()->second.sent_at >= this->settings.ping_timeout) {
    const auto [id, ping] = *this->pings.begin();
    this->pings.erase(this->pings.begin());
    const auto last = this->last_ping_by_name.find(ping.to.name);
    if (last != this->last_ping_by_name.end() && last->second == id) {
      this->last_ping_by_name.erase(last);
    }
    this->members.OnFailure(ping.to);
  }
}

}  // namespace masticpin
