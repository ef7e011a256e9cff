#include "masticpin/configuration/reader_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace masticpin {

namespace {

// Sort key of the members of a zone: the hash of the name, so that readers are spread over services
// and hosts, and then the name for equal hashes.
std::pair<std::uint64_t, const std::string&> MemberSortKey(const Member& member) {
  return {XXH3_64bits(member.id.name.data(), member.id.name.size()), member.id.name};
}

}  // namespace

ReaderSelection::ReaderSelection(const MemberTable& members, const Clock& clock, Settings settings)
    : members(members), clock(clock), settings(settings), started_at(clock.Now()) {}

ReaderRole ReaderSelection::Role() const {
  if (this->IsReader()) {
    return ReaderRole::kReader;
  }
  const TimePoint last = this->confirmed_at.value_or(this->started_at);
  return this->clock.Now() - last >= this->settings.confirmation_timeout ? ReaderRole::kFallback
                                                                         : ReaderRole::kNone;
}

bool ReaderSelection::IsReader() const {
  const Member& self = this->members.Self();
  if (self.state == MemberState::kLeaving) {
    return false;
  }
  const auto own = MemberSortKey(self);
  std::size_t before = 0;
  for (const Ref<Member>& member : this->members.Members()) {
    if (member->zone == self.zone && member->state == MemberState::kLive &&
        MemberSortKey(*member) < own) {
      ++before;
    }
  }
  return before < this->settings.readers_per_zone;
}

void ReaderSelection::RecordConfirmation(Duration age) {
  const TimePoint at = this->clock.Now() - age;
  if (!this->confirmed_at.has_value() || at > *this->confirmed_at) {
    this->confirmed_at = at;
  }
}

std::optional<Duration> ReaderSelection::ConfirmationAge() const {
  if (!this->confirmed_at.has_value()) {
    return std::nullopt;
  }
  return this->clock.Now() - *this->confirmed_at;
}

Duration ReaderSelection::SpreadInterval(Duration backoff) const {
  const std::chrono::duration<double> fleet(static_cast<double>(this->members.Members().size()) /
                                            this->settings.fleet_call_rate);
  return std::max(backoff, std::chrono::duration_cast<Duration>(fleet));
}

}  // namespace masticpin
