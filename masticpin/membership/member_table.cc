#include "masticpin/membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

namespace masticpin {

namespace {

// Maximum number of changes kept for peers that request them after a pause. More changes within the
// lifetime of a tombstone mean that most of the fleet restarted; a peer then has to rely on the
// platform's list.
constexpr std::size_t kMaxChanges = 4096;

}  // namespace

MemberTable::MemberTable(const Clock& clock, Member self, Settings settings)
    : clock(clock), settings(settings), self(new Member(std::move(self))) {
  assert(this->self->id.incarnation != 0);
  this->self->self = true;
  this->self->state = MemberState::kLive;
  this->self->first_seen = this->clock.Now();
  this->self->last_contact = this->clock.Now();
  this->positions.emplace(this->self->id.name, 0);
  this->members.push_back(this->self);
}

void MemberTable::AddObserver(MemberObserver& observer) {
  this->observers.push_back(&observer);
  for (const Ref<Member>& member : this->members) {
    observer.OnMemberAdded(*member);
  }
}

void MemberTable::RemoveObserver(MemberObserver& observer) {
  std::erase(this->observers, &observer);
}

void MemberTable::ApplyList(const std::vector<ListedInstance>& list) {
  const TimePoint now = this->clock.Now();
  this->Prune(now);
  std::unordered_set<std::string_view> listed;
  for (const ListedInstance& instance : list) {
    listed.insert(instance.name);
    Member* member = this->FindMutable(instance.name);
    if (member != nullptr) {
      this->ApplyListed(*member, instance, now);
    } else if (!instance.leaving && !this->departed_names.contains(instance.name)) {
      Ref<Member> added(new Member);
      added->id.name = instance.name;
      added->service = instance.service;
      added->zone = instance.zone;
      added->peer_endpoint = instance.peer_endpoint;
      added->http_address = instance.http_address;
      added->first_seen = now;
      this->Add(std::move(added));
    }
  }
  // Remove members that are not listed. A live member that still sends messages to this node is
  // kept: the list may lag behind.
  std::vector<std::string> removed_names;
  for (const Ref<Member>& member : this->members) {
    const bool silent =
        now - member->last_contact > this->settings.unlisted_lifetime || !member->HasContact();
    if (!member->self && !listed.contains(member->id.name) &&
        (member->state != MemberState::kLive || silent)) {
      removed_names.push_back(member->id.name);
    }
  }
  for (const std::string& name : removed_names) {
    this->Remove(name);
  }
}

void MemberTable::ApplyListed(Member& member, const ListedInstance& instance, TimePoint now) {
  if (member.self) {
    return;
  }
  const std::string http_before = member.http_address;
  member.http_address = instance.http_address;
  bool changed = http_before != member.http_address;
  // Until a message of the instance arrives, the list is the only source of its endpoint.
  if (!member.HasContact() && member.peer_endpoint != instance.peer_endpoint) {
    member.peer_endpoint = instance.peer_endpoint;
    changed = true;
  }
  // A recent message of the instance itself is newer than the list. A departure known only from the
  // list creates no tombstone: the list may refer to an earlier incarnation.
  const bool has_recent_contact =
      member.HasContact() && now - member.last_contact < this->settings.list_override_silence;
  if (instance.leaving && member.state != MemberState::kLeaving && !has_recent_contact) {
    member.state = MemberState::kLeaving;
    changed = true;
  } else if (!instance.leaving && member.state == MemberState::kLeaving &&
             !this->IsDeparted(member.id.incarnation)) {
    member.state = MemberState::kLive;
    changed = true;
  }
  if (changed) {
    this->NotifyChanged(member, member.id.incarnation);
  }
}

MemberUpdateResult MemberTable::ApplySender(const wire::Member& sender,
                                            std::uint32_t epoch,
                                            bool confirmed) {
  const TimePoint now = this->clock.Now();
  this->Prune(now);
  if (sender.name().empty() || sender.incarnation() == 0 || sender.name() == this->self->id.name) {
    return MemberUpdateResult::kIgnored;
  }
  const auto tombstone = this->tombstones.find(sender.incarnation());
  if (tombstone != this->tombstones.end()) {
    if (tombstone->second.announced_leave) {
      return MemberUpdateResult::kIgnored;
    }
    // The incarnation was replaced by another one, possibly because of a late message. It becomes
    // current again only if it answers a Ping.
    if (!confirmed) {
      return MemberUpdateResult::kConflict;
    }
    this->tombstones.erase(tombstone);
  }
  Member* member = this->FindMutable(sender.name());
  if (member == nullptr) {
    Ref<Member> added(new Member);
    added->id = InstanceId{sender.name(), sender.incarnation()};
    added->first_seen = now;
    added->last_contact = now;
    this->departed_names.erase(sender.name());
    member = &this->AddReported(std::move(added), sender);
    this->RecordChange(*member, now);
  } else if (member->id.incarnation != sender.incarnation()) {
    const bool current_is_live = member->id.incarnation != 0 &&
                                 member->state != MemberState::kLeaving &&
                                 now - member->last_contact < this->settings.direct_contact_window;
    if (current_is_live && !confirmed) {
      return MemberUpdateResult::kConflict;
    }
    this->SetIncarnation(*member, sender, now);
  }
  this->RecordContact(*member, sender, epoch, now);
  return MemberUpdateResult::kApplied;
}

void MemberTable::RecordContact(Member& member,
                                const wire::Member& sender,
                                std::uint32_t epoch,
                                TimePoint now) {
  member.epoch = std::max(member.epoch, epoch);
  member.last_contact = now;
  bool changed = this->ApplyAddresses(member, sender);
  if (sender.leaving()) {
    this->MarkLeaving(member, now);
    return;
  }
  if (member.state == MemberState::kLeaving) {
    // The member was leaving only according to the platform's list.
    member.state = MemberState::kLive;
    changed = true;
  }
  if (member.state == MemberState::kUnreachable) {
    // A message from the member does not prove that it can be reached, but justifies a probe now.
    member.retry_at = std::min(member.retry_at, now);
  }
  if (changed) {
    this->NotifyChanged(member, member.id.incarnation);
  }
}

void MemberTable::ApplyLeave(const InstanceId& id) {
  const TimePoint now = this->clock.Now();
  this->Prune(now);
  if (id.incarnation == 0 || id.name == this->self->id.name) {
    return;
  }
  Member* member = this->FindMutable(id);
  if (member != nullptr) {
    this->MarkLeaving(*member, now);
  } else {
    this->AddTombstone(id.name, id.incarnation, true, now);
  }
}

std::vector<wire::Member> MemberTable::ApplyUpdate(const wire::MemberUpdate& update) {
  std::vector<wire::Member> conflicts;
  const TimePoint now = this->clock.Now();
  this->Prune(now);
  for (const wire::Member& reported : update.members()) {
    if (reported.name().empty() || reported.incarnation() == 0 ||
        reported.name() == this->self->id.name) {
      continue;
    }
    if (reported.leaving()) {
      this->ApplyReportedLeave(reported, now);
    } else if (!this->tombstones.contains(reported.incarnation()) &&
               this->ApplyReportedLive(reported, now) == MemberUpdateResult::kConflict) {
      conflicts.push_back(reported);
    }
  }
  return conflicts;
}

void MemberTable::ApplyReportedLeave(const wire::Member& reported, TimePoint now) {
  const auto tombstone = this->tombstones.find(reported.incarnation());
  if (tombstone != this->tombstones.end()) {
    tombstone->second.announced_leave = true;
    return;
  }
  Member* member = this->FindMutable(reported.name());
  if (member != nullptr && member->id.incarnation == 0) {
    // The instance is known from the list only, so the departure is assumed to be that of the
    // listed process. If a successor runs already, it becomes known from its own messages.
    this->SetIncarnation(*member, reported, now);
  }
  if (member != nullptr && member->id.incarnation == reported.incarnation()) {
    this->MarkLeaving(*member, now);
    return;
  }
  this->AddTombstone(reported.name(), reported.incarnation(), true, now);
  this->RecordChange(reported, now);
}

MemberUpdateResult MemberTable::ApplyReportedLive(const wire::Member& reported, TimePoint now) {
  Member* member = this->FindMutable(reported.name());
  if (member == nullptr) {
    Ref<Member> added(new Member);
    added->id = InstanceId{reported.name(), reported.incarnation()};
    added->first_seen = now;
    this->departed_names.erase(reported.name());
    this->RecordChange(this->AddReported(std::move(added), reported), now);
  } else if (member->id.incarnation != reported.incarnation()) {
    const bool has_recent_contact =
        member->HasContact() && now - member->last_contact < this->settings.direct_contact_window;
    if (has_recent_contact && member->state != MemberState::kLeaving) {
      return MemberUpdateResult::kConflict;
    }
    this->SetIncarnation(*member, reported, now);
    this->ApplyAddresses(*member, reported);
  }
  return MemberUpdateResult::kApplied;
}

void MemberTable::OnFailure(const InstanceId& id) {
  Member* member = this->FindMutable(id);
  if (member == nullptr || member->self || member->state == MemberState::kLeaving) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const bool first = member->state != MemberState::kUnreachable;
  if (!first && now < member->retry_at) {
    // One outage fails all requests in flight; it counts as one failure.
    return;
  }
  member->backoff = member->backoff == Duration::zero()
                        ? this->settings.initial_backoff
                        : std::min(member->backoff * 2, this->settings.max_backoff);
  member->retry_at = now + member->backoff;
  member->state = MemberState::kUnreachable;
  if (first) {
    this->NotifyChanged(*member, member->id.incarnation);
  }
}

void MemberTable::OnSuccess(const InstanceId& id) {
  Member* member = this->FindMutable(id);
  if (member == nullptr) {
    return;
  }
  member->backoff = Duration::zero();
  if (member->state == MemberState::kUnreachable) {
    member->state = MemberState::kLive;
    this->NotifyChanged(*member, member->id.incarnation);
  }
}

void MemberTable::OnProbe(const InstanceId& id) {
  Member* member = this->FindMutable(id);
  if (member != nullptr && member->state == MemberState::kUnreachable) {
    member->retry_at = this->clock.Now() + member->backoff;
  }
}

void MemberTable::MarkUnverified() {
  for (const Ref<Member>& member : this->members) {
    member->unverified = !member->self;
  }
}

void MemberTable::Verify(const InstanceId& id) {
  Member* member = this->FindMutable(id);
  if (member != nullptr) {
    member->unverified = false;
  }
}

void MemberTable::MarkSelfLeaving() {
  this->self->state = MemberState::kLeaving;
  this->NotifyChanged(*this->self, this->self->id.incarnation);
}

Ref<const Member> MemberTable::Find(std::string_view name) const {
  const auto position = this->positions.find(name);
  return position == this->positions.end() ? nullptr : this->members[position->second];
}

Ref<const Member> MemberTable::Find(const InstanceId& id) const {
  Ref<const Member> member = this->Find(std::string_view(id.name));
  return member != nullptr && member->id.incarnation == id.incarnation ? member : nullptr;
}

std::vector<Ref<const Member>> MemberTable::RandomPeers(std::size_t count,
                                                        RandomSource& random) const {
  std::vector<Ref<const Member>> chosen;
  const auto eligible = [](const Member& member) {
    return !member.self && member.state != MemberState::kLeaving;
  };
  if (this->members.size() <= 4 * count) {
    // Few members: shuffle as many of them as are needed.
    for (const Ref<Member>& member : this->members) {
      if (eligible(*member)) {
        chosen.push_back(member);
      }
    }
    for (std::size_t i = 0; i < std::min(count, chosen.size()); ++i) {
      std::swap(chosen[i], chosen[i + random.NextBelow(chosen.size() - i)]);
    }
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
  }
  // Many members: draw until there are enough; the bound on the draws only matters when most
  // members are leaving.
  for (std::size_t draw = 0; draw < 8 * count && chosen.size() < count; ++draw) {
    const Ref<Member>& member = this->members[random.NextBelow(this->members.size())];
    if (eligible(*member) && std::find(chosen.begin(), chosen.end(), member) == chosen.end()) {
      chosen.push_back(member);
    }
  }
  return chosen;
}

wire::MemberUpdate MemberTable::RecentChanges(Duration age, std::size_t count) const {
  wire::MemberUpdate update;
  const TimePoint oldest = this->clock.Now() - age;
  for (auto change = this->changes.rbegin(); change != this->changes.rend(); ++change) {
    if (change->at < oldest || static_cast<std::size_t>(update.members_size()) >= count) {
      break;
    }
    *update.add_members() = change->member;
  }
  return update;
}

bool MemberTable::IsDeparted(std::uint64_t incarnation) const {
  return this->tombstones.contains(incarnation);
}

void MemberTable::Prune(TimePoint now) {
  while (!this->expiries.empty() && this->expiries.front().first <= now) {
    const auto tombstone = this->tombstones.find(this->expiries.front().second);
    this->expiries.pop_front();
    // The tombstone has been erased if its incarnation was confirmed as current, and it expires
    // later if the departure was recorded again.
    if (tombstone == this->tombstones.end() || tombstone->second.expires > now) {
      continue;
    }
    const Tombstone expired = std::move(tombstone->second);
    const std::uint64_t incarnation = tombstone->first;
    this->tombstones.erase(tombstone);
    const auto departed = this->departed_names.find(expired.name);
    if (departed != this->departed_names.end() && departed->second <= now) {
      this->departed_names.erase(departed);
    }
    if (this->FindMutable(InstanceId{expired.name, incarnation}) != nullptr) {
      this->Remove(expired.name);
    }
  }
  while (!this->changes.empty() &&
         (this->changes.size() > kMaxChanges ||
          this->changes.front().at + this->settings.tombstone_lifetime < now)) {
    this->changes.pop_front();
  }
}

void MemberTable::AddTombstone(const std::string& name,
                               std::uint64_t incarnation,
                               bool announced_leave,
                               TimePoint now) {
  const TimePoint expires = now + this->settings.tombstone_lifetime;
  Tombstone& tombstone = this->tombstones[incarnation];
  tombstone.name = name;
  tombstone.expires = expires;
  tombstone.announced_leave = tombstone.announced_leave || announced_leave;
  this->expiries.emplace_back(expires, incarnation);
  if (announced_leave && !this->positions.contains(name)) {
    this->departed_names[name] = expires;
  }
}

void MemberTable::RecordChange(const Member& member, TimePoint now) {
  wire::Member change;
  change.set_name(member.id.name);
  change.set_incarnation(member.id.incarnation);
  change.set_service(member.service);
  change.set_zone(member.zone);
  change.set_peer_endpoint(member.peer_endpoint);
  change.set_leaving(member.state == MemberState::kLeaving);
  this->RecordChange(change, now);
}

void MemberTable::RecordChange(const wire::Member& member, TimePoint now) {
  this->changes.push_back(Change{now, member});
}

Member& MemberTable::Add(Ref<Member> member) {
  this->positions.emplace(member->id.name, this->members.size());
  this->members.push_back(std::move(member));
  Member& added = *this->members.back();
  for (MemberObserver* observer : this->observers) {
    observer->OnMemberAdded(added);
  }
  return added;
}

Member& MemberTable::AddReported(Ref<Member> member, const wire::Member& reported) {
  member->service = reported.service();
  member->zone = reported.zone();
  member->peer_endpoint = reported.peer_endpoint();
  return this->Add(std::move(member));
}

void MemberTable::Remove(const std::string& name) {
  const auto position = this->positions.find(name);
  assert(position != this->positions.end());
  const Ref<Member> removed = this->members[position->second];
  assert(!removed->self);
  // Fill the gap with the last member.
  this->members[position->second] = this->members.back();
  this->positions.find(this->members.back()->id.name)->second = position->second;
  this->members.pop_back();
  this->positions.erase(position);
  const auto tombstone = this->tombstones.find(removed->id.incarnation);
  if (tombstone != this->tombstones.end() && tombstone->second.announced_leave) {
    this->departed_names[removed->id.name] = tombstone->second.expires;
  }
  for (MemberObserver* observer : this->observers) {
    observer->OnMemberRemoved(*removed);
  }
}

void MemberTable::SetIncarnation(Member& member, const wire::Member& reported, TimePoint now) {
  const std::uint64_t previous = member.id.incarnation;
  if (previous != 0 && !this->tombstones.contains(previous)) {
    this->AddTombstone(member.id.name, previous, false, now);
  }
  member.id.incarnation = reported.incarnation();
  member.state = MemberState::kLive;
  member.epoch = 0;
  member.first_seen = now;
  member.last_contact = TimePoint{};
  member.backoff = Duration::zero();
  member.unverified = false;
  // The incarnation of a name known only from the list is not recorded as a change: peers ping the
  // instance themselves when they need it.
  if (previous != 0) {
    this->RecordChange(reported, now);
  }
  this->NotifyChanged(member, previous);
}

bool MemberTable::ApplyAddresses(Member& member, const wire::Member& reported) {
  const auto assign = [](std::string& field, const std::string& value) {
    const bool differs = !value.empty() && field != value;
    if (differs) {
      field = value;
    }
    return differs;
  };
  bool changed = assign(member.service, reported.service());
  changed = assign(member.zone, reported.zone()) || changed;
  return assign(member.peer_endpoint, reported.peer_endpoint()) || changed;
}

void MemberTable::MarkLeaving(Member& member, TimePoint now) {
  if (this->IsDeparted(member.id.incarnation)) {
    return;
  }
  member.state = MemberState::kLeaving;
  this->AddTombstone(member.id.name, member.id.incarnation, true, now);
  this->RecordChange(member, now);
  this->NotifyChanged(member, member.id.incarnation);
}

void MemberTable::NotifyChanged(const Member& member, std::uint64_t previous_incarnation) {
  for (MemberObserver* observer : this->observers) {
    observer->OnMemberChanged(member, previous_incarnation);
  }
}

Member* MemberTable::FindMutable(std::string_view name) {
  const auto position = this->positions.find(name);
  return position == this->positions.end() ? nullptr : this->members[position->second].get();
}

Member* MemberTable::FindMutable(const InstanceId& id) {
  Member* member = this->FindMutable(std::string_view(id.name));
  return member != nullptr && member->id.incarnation == id.incarnation ? member : nullptr;
}

}  // namespace masticpin
