#include "masticpin/configuration/version_gossip.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace masticpin {

namespace {

// Added to the age of a confirmation at each hop, because the actual transit time is unknown.
// Without it, two nodes that exchange digests would keep a confirmation from aging.
constexpr Duration kConfirmationAgePerHop = std::chrono::milliseconds(5);

}  // namespace

VersionGossip::VersionGossip(DocumentStore& store,
                             DocumentTransfer& transfer,
                             ReaderSelection& readers,
                             MemberTable& members,
                             EnvelopeSender& sender,
                             const Clock& clock,
                             TimerService& timers,
                             RandomSource& random,
                             Settings settings)
    : store(store),
      transfer(transfer),
      readers(readers),
      members(members),
      sender(sender),
      clock(clock),
      timers(timers),
      random(random),
      settings(settings) {
  this->store.AddListener(*this);
}

void VersionGossip::Start() {
  // The first round starts at a random time, so that nodes which start together do not stay
  // synchronized.
  const auto period = static_cast<std::uint64_t>(this->settings.period.count());
  this->timers.Schedule(*this, this->clock.Now() + Duration(this->random.NextBelow(period)));
}

void VersionGossip::OnTimer(TimePoint now) {
  const wire::MemberUpdate changes =
      this->members.RecentChanges(this->settings.change_ttl, this->settings.max_changes);
  for (const Ref<const Member>& peer :
       this->members.RandomPeers(this->settings.fanout, this->random)) {
    this->sender.Send(peer->id, this->MakeDigest(false, false));
    if (changes.members_size() > 0) {
      wire::Envelope envelope;
      *envelope.mutable_member_update() = changes;
      this->sender.Send(peer->id, std::move(envelope));
    }
  }
  this->timers.Schedule(*this, now + this->settings.period);
}

void VersionGossip::OnDocument(const Document& /*document*/) {
  for (const Ref<const Member>& peer :
       this->members.RandomPeers(this->settings.fanout, this->random)) {
    this->sender.Send(peer->id, this->MakeDigest(false, false));
  }
}

void VersionGossip::OnDigest(const InstanceId& from, const wire::VersionDigest& digest) {
  if (digest.confirmed_ms_ago() != 0) {
    this->readers.RecordConfirmation(std::chrono::milliseconds(digest.confirmed_ms_ago()) +
                                     kConfirmationAgePerHop);
  }
  this->Compare(from, digest);
}

void VersionGossip::Compare(const InstanceId& from, const wire::VersionDigest& digest) {
  // Fetch documents of the peer that this node lacks or has in a lower version.
  std::size_t same_version_count = 0;
  for (const wire::DocumentVersion& theirs : digest.documents()) {
    const Document* ours = this->store.Find(theirs.name());
    if (ours == nullptr || ours->version < theirs.version()) {
      this->transfer.Fetch(theirs, from);
    } else if (ours->version == theirs.version()) {
      ++same_version_count;
      this->conflicts += ours->digest != theirs.digest() ? 1 : 0;
    }
  }
  // Send a digest to the peer if it requested one or has lower versions, but never in response to a
  // response: two nodes that lack different documents would exchange digests without end.
  if (digest.answer()) {
    return;
  }
  wire::VersionDigest held;
  this->store.FillVersionDigest(held);
  bool peer_is_behind = false;
  if (same_version_count < static_cast<std::size_t>(held.documents_size())) {
    for (const wire::DocumentVersion& ours : held.documents()) {
      std::uint64_t version = 0;
      for (const wire::DocumentVersion& theirs : digest.documents()) {
        version = theirs.name() == ours.name() ? theirs.version() : version;
      }
      peer_is_behind = peer_is_behind || version < ours.version();
    }
  }
  if (digest.reply_wanted() || peer_is_behind) {
    this->sender.Send(from, this->MakeDigest(false, true));
  }
}

void VersionGossip::OnVersionSeen(const InstanceId& from,
                                  const std::string& name,
                                  std::uint64_t version) {
  if (version <= this->store.VersionOf(name)) {
    return;
  }
  wire::DocumentVersion document;
  document.set_name(name);
  document.set_version(version);
  this->transfer.Fetch(document, from);
}

void VersionGossip::SendDigest(const InstanceId& to, bool reply_wanted) {
  this->sender.Send(to, this->MakeDigest(reply_wanted, false));
}

wire::Envelope VersionGossip::MakeDigest(bool reply_wanted, bool answer) const {
  wire::Envelope envelope;
  wire::VersionDigest& digest = *envelope.mutable_version_digest();
  this->store.FillVersionDigest(digest);
  digest.set_reply_wanted(reply_wanted);
  digest.set_answer(answer);
  const std::optional<Duration> age = this->readers.ConfirmationAge();
  if (age.has_value()) {
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
    digest.set_confirmed_ms_ago(std::max<std::uint64_t>(static_cast<std::uint64_t>(whole), 1));
  }
  return envelope;
}

}  // namespace masticpin
