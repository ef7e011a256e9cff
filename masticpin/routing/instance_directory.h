#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "masticpin/base/time.h"
#include "masticpin/routing/instance_directory_observer.h"
#include "masticpin/routing/registry_revision.h"
#include "masticpin/routing/service_settings.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

struct InstanceDirectorySettings {
  /// Time for which removals are suspended after the registry was unavailable. Entries that expired
  /// in the meantime are written again within two seconds of its recovery if their instances still
  /// run.
  Duration removal_grace_period = std::chrono::milliseconds(2500);
  /// Shortest outage of the registry in which an entry can expire. Entries expire after three
  /// heartbeat intervals of silence, the first of which may have begun before the outage.
  Duration min_expiry_outage = std::chrono::milliseconds(3000);
};

/// The instances of the deployment, ordered by the registry's revisions. Updates may come from
/// several sources and out of order: an entry is never replaced by one of a lower revision.
///
/// The registry may return from an older copy, in a new era. An entry that is read in the new era
/// may be one of the copy, which is older than an entry of the era before with a higher revision
/// number; see IsFromCopy(). Such an entry changes nothing but a departure that it announces.
///
/// Not thread-safe.
class InstanceDirectory {
 public:
  using Settings = InstanceDirectorySettings;

  /// `local_address` and `local_service` are those of the local instance. An entry of another
  /// service at this address is not an instance that the node serves. It is ignored if an earlier
  /// owner of the address left it; if it was listed later, the local instance has ended.
  InstanceDirectory(SocketAddress local_address, std::string local_service, Settings settings = {});
  InstanceDirectory(const InstanceDirectory&) = delete;
  InstanceDirectory& operator=(const InstanceDirectory&) = delete;

  /// The observer must outlive the directory.
  void AddObserver(InstanceDirectoryObserver& observer) { this->observers.push_back(&observer); }

  /// Sets the services that the configuration names. Entries of other services describe no
  /// instance; they are kept aside until a configuration names their service. The local service is
  /// always named, and so are all services if `services` is empty.
  void SetServices(const std::vector<ServiceSettings>& services);

  /// Applies one entry unless a newer entry, or a newer removal, is known. If two instances have
  /// the same address, the one listed later replaces the earlier one, which no longer exists.
  void Apply(const UpstreamInstance& instance);

  /// Records that the registry removed the entry at `revision`.
  void Remove(std::string_view name, RegistryRevision revision);

  /// Applies the complete list as of `revision` or later: applies all entries and removes those
  /// that the list does not contain, except entries that are newer than the list.
  void ApplyList(const std::vector<UpstreamInstance>& list,
                 RegistryRevision revision,
                 TimePoint now);

  /// Applies entries received from another node. Missing entries are not removed. An entry that the
  /// registry's own list no longer contained at a later revision is ignored: the other node may
  /// have been unable to read the registry for a long time.
  void ApplyEntries(const std::vector<UpstreamInstance>& entries);

  /// Records that the registry has no entry of this name at `revision`. Has the same effect as a
  /// list without it. Returns false if the removal is suspended; it then takes effect in
  /// ApplySuspendedRemovals(), unless a newer entry arrives before that.
  bool ApplyMissing(std::string_view name, RegistryRevision revision, TimePoint now);

  /// Applies the removals that were suspended, if they no longer are. Returns whether there were
  /// any.
  bool ApplySuspendedRemovals(TimePoint now);

  /// Records that the registry did not respond. Removals are suspended for `removal_grace_period`.
  void OnRegistryUnavailable(TimePoint now);

  /// Records that the registry responds again. `outage` is the time between its last two responses.
  /// After an outage shorter than `min_expiry_outage`, removals take effect at once.
  void OnRegistryRecovered(Duration outage);

  /// Records that the registry has returned from an older copy, and that `revision` was read in the
  /// new era. Removals are suspended for `removal_grace_period`, in which the instances that the
  /// copy lacks are written again.
  void OnRegistryReturned(RegistryRevision revision, TimePoint now);

  /// Records that the registry, or another node, had advanced to `revision`. Everything that it
  /// wrote in this era has a higher number, or was written before this node noticed the return.
  void ObserveEra(RegistryRevision revision);

  /// Latest known era, and the lowest revision number that is known to belong to it.
  RegistryRevision EraStart() const { return this->era_start; }

  /// Returns the instance of this name, or nullptr.
  const UpstreamInstance* Find(std::string_view name) const;

  /// Returns the instance that listens at `address`, or nullptr.
  const UpstreamInstance* FindByAddress(const SocketAddress& address) const;

  /// Calls `visit` for each instance.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [name, instance] : this->instances) {
      visit(instance);
    }
  }

  /// Whether a list, or entries from another node, have been received.
  bool IsPopulated() const { return this->populated; }

  std::size_t Size() const { return this->instances.size(); }

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  /// Whether the configuration names the service.
  bool IsNamed(std::string_view service) const;

  /// Whether a revision read in the era of `later` may be one of the copy with which that era
  /// began, and is then older than `earlier`, which belongs to an earlier era. Numbers above the
  /// start of the era were assigned in it. Without knowledge of the start, the answer is yes.
  bool IsFromCopy(RegistryRevision later, RegistryRevision earlier) const;

  /// Whether `revision` was written after `other`, as far as it is known.
  bool IsNewer(RegistryRevision revision, RegistryRevision other) const {
    return revision > other && !this->IsFromCopy(revision, other);
  }

  /// Whether `entry` describes a later state of the instance than `known_entry`.
  bool Supersedes(const UpstreamInstance& entry, const UpstreamInstance& known_entry) const;

  /// Removes the instance whose address `instance` has taken over. Returns false if the address
  /// belongs to an instance that was listed later.
  bool ClaimAddress(const UpstreamInstance& instance);

  /// Whether missing entries are kept because the registry was unavailable and they may be written
  /// again.
  bool AreRemovalsSuspended(TimePoint now) const;

  const SocketAddress local_address;
  const std::string local_service;
  const Settings settings;
  std::unordered_map<std::string, UpstreamInstance, StringHash, std::equal_to<>> instances;
  /// Name of the instance by address (in text form); each address belongs to one instance.
  std::unordered_map<std::string, std::string, StringHash, std::equal_to<>> names_by_address;
  /// Revision of the removal, by instance name.
  std::unordered_map<std::string, RegistryRevision, StringHash, std::equal_to<>> removal_revisions;
  /// The services that the configuration names; empty if it names none.
  std::unordered_set<std::string, StringHash, std::equal_to<>> services;
  /// Entries of services that the configuration does not name, by instance name.
  std::unordered_map<std::string, UpstreamInstance, StringHash, std::equal_to<>> unnamed_entries;
  std::vector<InstanceDirectoryObserver*> observers;
  bool populated = false;
  /// Revision of the latest list whose missing entries were removed.
  RegistryRevision list_revision;
  /// See EraStart().
  RegistryRevision era_start;
  /// Suspended removals: revision by instance name.
  std::unordered_map<std::string, RegistryRevision, StringHash, std::equal_to<>> suspended_removals;
  /// Time of the last failed call of the present outage; of none if it is over.
  std::optional<TimePoint> registry_unavailable_at;
  /// End of the suspension of removals after earlier outages.
  TimePoint removals_suspended_until{};
};

}  // namespace masticpin
