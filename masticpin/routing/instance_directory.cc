#include "masticpin/routing/instance_directory.h"

#include <algorithm>
#include <utility>

namespace masticpin {
namespace {

/// Maximum number of removals that are remembered; when it is reached, all are discarded. They
/// prevent an update that arrives out of order from restoring a removed instance, and the number
/// is far above the removals of any fleet within the lag of the registry's stale reads.
constexpr std::size_t kMaxRemovals = 4096;

}  // namespace

InstanceDirectory::InstanceDirectory(SocketAddress local_address,
                                     std::string local_service,
                                     Settings settings)
    : local_address(std::move(local_address)),
      local_service(std::move(local_service)),
      settings(settings) {}

void InstanceDirectory::SetServices(const std::vector<ServiceSettings>& new_services) {
  this->services.clear();
  for (const ServiceSettings& service : new_services) {
    this->services.insert(service.name);
  }
  for (const auto& [name, entry] : std::exchange(this->unnamed_entries, {})) {
    this->Apply(entry);
  }
}

bool InstanceDirectory::IsNamed(std::string_view service) const {
  return this->services.empty() || service == this->local_service ||
         this->services.contains(service);
}

void InstanceDirectory::Apply(const UpstreamInstance& instance) {
  if (!this->IsNamed(instance.service)) {
    const auto [unnamed, added] = this->unnamed_entries.try_emplace(instance.name, instance);
    if (!added && this->Supersedes(instance, unnamed->second)) {
      unnamed->second = instance;
    }
    return;
  }
  if (instance.address == this->local_address && instance.service != this->local_service) {
    this->ClaimAddress(instance);
    return;
  }
  const auto removal = this->removal_revisions.find(instance.name);
  if (removal != this->removal_revisions.end()) {
    if (!this->IsNewer(instance.revision, removal->second)) {
      return;
    }
    this->removal_revisions.erase(removal);
  }
  const auto found = this->instances.find(instance.name);
  if (found != this->instances.end() && !this->Supersedes(instance, found->second)) {
    return;
  }
  if (!this->ClaimAddress(instance)) {
    return;
  }
  UpstreamInstance& known_instance = this->instances[instance.name];
  if (!known_instance.revision.IsNone() && !(known_instance.address == instance.address)) {
    this->names_by_address.erase(known_instance.address.ToString());
  }
  known_instance = instance;
  this->names_by_address[instance.address.ToString()] = instance.name;
  for (InstanceDirectoryObserver* observer : this->observers) {
    observer->OnInstanceUpdated(known_instance);
  }
}

void InstanceDirectory::Remove(std::string_view name, RegistryRevision revision) {
  const auto found = this->instances.find(name);
  if (found != this->instances.end() && found->second.revision > revision) {
    return;
  }
  if (this->removal_revisions.size() >= kMaxRemovals) {
    this->removal_revisions.clear();
  }
  this->removal_revisions[std::string(name)] = revision;
  if (found == this->instances.end()) {
    return;
  }
  for (InstanceDirectoryObserver* observer : this->observers) {
    observer->OnInstanceRemoved(name);
  }
  this->names_by_address.erase(found->second.address.ToString());
  this->instances.erase(found);
}

void InstanceDirectory::ApplyList(const std::vector<UpstreamInstance>& list,
                                  RegistryRevision revision,
                                  TimePoint now) {
  this->populated = true;
  this->unnamed_entries.clear();
  std::unordered_set<std::string_view> listed;
  for (const UpstreamInstance& instance : list) {
    if (this->IsNamed(instance.service)) {
      listed.insert(instance.name);
    }
    this->Apply(instance);
  }
  if (this->AreRemovalsSuspended(now)) {
    return;
  }
  this->list_revision = std::max(this->list_revision, revision);
  std::vector<std::string> missing;
  for (const auto& [name, instance] : this->instances) {
    if (!listed.contains(name) && instance.revision <= revision) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    this->Remove(name, revision);
  }
}

void InstanceDirectory::ApplyEntries(const std::vector<UpstreamInstance>& entries) {
  this->populated = true;
  for (const UpstreamInstance& entry : entries) {
    const bool unlisted = !this->IsNewer(entry.revision, this->list_revision) &&
                          !this->instances.contains(entry.name);
    if (!unlisted) {
      this->Apply(entry);
    }
  }
}

bool InstanceDirectory::ApplyMissing(std::string_view name,
                                     RegistryRevision revision,
                                     TimePoint now) {
  if (!this->AreRemovalsSuspended(now)) {
    this->Remove(name, revision);
    return true;
  }
  if (this->instances.contains(name)) {
    this->suspended_removals[std::string(name)] = revision;
  }
  return false;
}

bool InstanceDirectory::ApplySuspendedRemovals(TimePoint now) {
  if (this->suspended_removals.empty() || this->AreRemovalsSuspended(now)) {
    return false;
  }
  for (const auto& [name, revision] : std::exchange(this->suspended_removals, {})) {
    this->Remove(name, revision);
  }
  return true;
}

bool InstanceDirectory::AreRemovalsSuspended(TimePoint now) const {
  return now < this->removals_suspended_until ||
         (this->registry_unavailable_at &&
          now < *this->registry_unavailable_at + this->settings.removal_grace_period);
}

void InstanceDirectory::OnRegistryUnavailable(TimePoint now) {
  this->registry_unavailable_at = now;
}

void InstanceDirectory::OnRegistryRecovered(Duration outage) {
  if (this->registry_unavailable_at && outage >= this->settings.min_expiry_outage) {
    this->removals_suspended_until =
        *this->registry_unavailable_at + this->settings.removal_grace_period;
  }
  this->registry_unavailable_at.reset();
}

void InstanceDirectory::OnRegistryReturned(RegistryRevision revision, TimePoint now) {
  this->ObserveEra(revision);
  this->removals_suspended_until =
      std::max(this->removals_suspended_until, now + this->settings.removal_grace_period);
}

void InstanceDirectory::ObserveEra(RegistryRevision revision) {
  if (revision.era > this->era_start.era) {
    this->era_start = revision;
  } else if (revision.era == this->era_start.era) {
    this->era_start.number = std::min(this->era_start.number, revision.number);
  }
}

bool InstanceDirectory::IsFromCopy(RegistryRevision later, RegistryRevision earlier) const {
  if (later.era <= earlier.era || later.number >= earlier.number) {
    return false;
  }
  return later.era != this->era_start.era || later.number <= this->era_start.number;
}

bool InstanceDirectory::Supersedes(const UpstreamInstance& entry,
                                   const UpstreamInstance& known_entry) const {
  const bool departs = entry.state == InstanceState::kDraining &&
                       known_entry.state == InstanceState::kReady &&
                       entry.incarnation == known_entry.incarnation;
  if (this->IsFromCopy(entry.revision, known_entry.revision)) {
    // A process that has announced its departure does not withdraw that. If only the entry of the
    // later era announces it, the process has written it after the return.
    return departs;
  }
  if (this->IsFromCopy(known_entry.revision, entry.revision)) {
    return departs;
  }
  return entry.revision > known_entry.revision;
}

const UpstreamInstance* InstanceDirectory::Find(std::string_view name) const {
  const auto found = this->instances.find(name);
  return found == this->instances.end() ? nullptr : &found->second;
}

const UpstreamInstance* InstanceDirectory::FindByAddress(const SocketAddress& address) const {
  const auto found = this->names_by_address.find(address.ToString());
  return found == this->names_by_address.end() ? nullptr : this->Find(found->second);
}

bool InstanceDirectory::ClaimAddress(const UpstreamInstance& instance) {
  const UpstreamInstance* owner = this->FindByAddress(instance.address);
  if (owner == nullptr || owner->name == instance.name) {
    return true;
  }
  if (owner->listed_revision > instance.listed_revision ||
      this->IsFromCopy(instance.listed_revision, owner->listed_revision)) {
    return false;
  }
  const std::string owner_name = owner->name;
  this->Remove(owner_name, std::max(owner->revision, instance.listed_revision));
  return true;
}

}  // namespace masticpin
