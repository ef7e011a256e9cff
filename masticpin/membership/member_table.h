#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/membership/listed_instance.h"
#include "masticpin/membership/member.h"
#include "masticpin/membership/member_observer.h"
#include "masticpin/membership/membership.pb.h"

namespace masticpin {

struct MemberTableSettings {
  /// Initial and maximum back-off; it doubles with each failure.
  Duration initial_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(8);
  /// How long a departed incarnation and its name are remembered. It must exceed the lag of the
  /// platform's list and the lifetime of any message in flight. A list that lags longer only adds
  /// the name again without an incarnation, and such a member gets no requests before it has
  /// answered a Ping.
  Duration tombstone_lifetime = std::chrono::minutes(10);
  /// A live member that is not in the platform's list is removed after this time without a message.
  /// New instances are known from their own messages before the list contains them.
  Duration unlisted_lifetime = std::chrono::minutes(1);
  /// An incarnation from which this node received a message within this time, and which is not
  /// leaving, is replaced by another one only if that one answers a Ping: a peer's report about the
  /// other incarnation, or a message of it, is probably out of date.
  Duration direct_contact_window = std::chrono::seconds(2);
  /// A departure known only from the platform's list is applied when no message of the member has
  /// arrived for this time.
  Duration list_override_silence = std::chrono::seconds(5);
};

/// Result of applying an update about a member.
enum class MemberUpdateResult : std::uint8_t {
  kApplied,
  /// The update is about a departed incarnation or the local node, or contains no name or
  /// incarnation.
  kIgnored,
  /// Two incarnations claim the name. The owner of the table sends a Ping to the endpoint and
  /// passes the sender of the Pong to ApplySender() as confirmed.
  kConflict,
};

/// The instances of the deployment as this node knows them. Messages of the instances themselves
/// take precedence over reports of peers, and those over the platform's list. Not thread-safe.
class MemberTable {
 public:
  using Settings = MemberTableSettings;

  /// `self` is the entry of the local node; neither the list nor peers change it.
  MemberTable(const Clock& clock, Member self, Settings settings = {});
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /// Observers are called in the order of their addition and must outlive the table or be removed.
  /// A new observer is called for each member that is already known.
  void AddObserver(MemberObserver& observer);
  void RemoveObserver(MemberObserver& observer);

  /// Applies the platform's list: adds unknown names, updates the addresses and the state of known
  /// members, and removes leaving, unreachable or silent members that it does not contain. Never
  /// restores a departed incarnation.
  void ApplyList(const std::vector<ListedInstance>& list);

  /// Applies the sender of a received envelope. `confirmed` means that the envelope answers a Ping
  /// that this node sent after it learned of the current incarnation.
  MemberUpdateResult ApplySender(const wire::Member& sender,
                                 std::uint32_t epoch,
                                 bool confirmed = false);

  /// Called when the instance has announced its departure, or refused a request because it is
  /// draining.
  void ApplyLeave(const InstanceId& id);

  /// Applies a report of a peer about members. Returns those that claim the name of a member with
  /// recent contact; the owner of the table sends a Ping to their endpoints.
  std::vector<wire::Member> ApplyUpdate(const wire::MemberUpdate& update);

  /// Called when a request or a connection to the member failed: starts its back-off, or doubles it
  /// if it has ended. Does nothing for another incarnation.
  void OnFailure(const InstanceId& id);

  /// Called when the member answered: resets its back-off.
  void OnSuccess(const InstanceId& id);

  /// Postpones the retry time to one back-off from now, because a probe is in progress.
  void OnProbe(const InstanceId& id);

  /// Marks all members as unverified, because this process was paused.
  void MarkUnverified();

  /// The member answered a Ping that was sent after the last pause. Other messages do not count:
  /// they may have waited in a buffer during the pause.
  void Verify(const InstanceId& id);

  /// Marks the entry of the local node as leaving.
  void MarkSelfLeaving();

  const Member& Self() const { return *this->self; }

  /// Returns the member of this name, or nullptr.
  Ref<const Member> Find(std::string_view name) const;

  /// Returns the member if its incarnation is the given one, or nullptr.
  Ref<const Member> Find(const InstanceId& id) const;

  /// All members, including the local node, in no particular order.
  const std::vector<Ref<Member>>& Members() const { return this->members; }

  /// Chooses up to `count` distinct members at random, excluding the local node and leaving
  /// members. Unreachable members are included, so that the end of a partition is detected.
  std::vector<Ref<const Member>> RandomPeers(std::size_t count, RandomSource& random) const;

  /// The newest changes (departures and new incarnations) of the last `age`, at most `count`.
  wire::MemberUpdate RecentChanges(Duration age, std::size_t count) const;

  /// Whether the incarnation is known to be leaving, stopped or replaced.
  bool IsDeparted(std::uint64_t incarnation) const;

 private:
  struct Tombstone {
    std::string name;
    TimePoint expires;
    // Set when the departure of the incarnation was announced, not when another one took its name.
    bool announced_leave = false;
  };
  struct Change {
    TimePoint at;
    wire::Member member;
  };

  void Prune(TimePoint now);
  void AddTombstone(const std::string& name,
                    std::uint64_t incarnation,
                    bool announced_leave,
                    TimePoint now);
  void RecordChange(const Member& member, TimePoint now);
  void RecordChange(const wire::Member& member, TimePoint now);
  Member& Add(Ref<Member> member);
  Member& AddReported(Ref<Member> member, const wire::Member& reported);
  void Remove(const std::string& name);
  void ApplyListed(Member& member, const ListedInstance& instance, TimePoint now);
  void ApplyReportedLeave(const wire::Member& reported, TimePoint now);
  MemberUpdateResult ApplyReportedLive(const wire::Member& reported, TimePoint now);
  void RecordContact(Member& member,
                     const wire::Member& sender,
                     std::uint32_t epoch,
                     TimePoint now);
  void SetIncarnation(Member& member, const wire::Member& reported, TimePoint now);
  bool ApplyAddresses(Member& member, const wire::Member& reported);
  void MarkLeaving(Member& member, TimePoint now);
  void NotifyChanged(const Member& member, std::uint64_t previous_incarnation);
  Member* FindMutable(std::string_view name);
  Member* FindMutable(const InstanceId& id);

  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  const Clock& clock;
  const Settings settings;
  Ref<Member> self;
  std::vector<Ref<Member>> members;
  // Position in `members` by name.
  std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>> positions;
  std::unordered_map<std::uint64_t, Tombstone> tombstones;
  // Names whose last known incarnation has left, with the time until which the list cannot add
  // them.
  std::unordered_map<std::string, TimePoint> departed_names;
  // Tombstones in the order of their creation, for expiry.
  std::deque<std::pair<TimePoint, std::uint64_t>> expiries;
  std::deque<Change> changes;
  std::vector<MemberObserver*> observers;
};

}  // namespace masticpin
