#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/base/time.h"
#include "masticpin/routing/instance_directory_observer.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

struct InstanceDirectorySettings {
  /// Time for which removals are held back after the registry was unreachable. Entries that lapsed
  /// meanwhile are written again within two seconds of its return if their instance lives.
  Duration removal_grace_period = std::chrono::milliseconds(2500);
};

/// The instances of the deployment, in the order of the registry's revisions. News may come from
/// several sources and out of order: an entry never gives way to one of a lower revision. Not
/// thread-safe.
class InstanceDirectory {
 public:
  using Settings = InstanceDirectorySettings;

  /// `own_address` and `own_service` are those of the instance beside this node. An entry that
  /// names another service at this address is left from an earlier owner of the address and is
  /// ignored.
  InstanceDirectory(SocketAddress local_address, std::string local_service, Settings settings = {});
  InstanceDirectory(const InstanceDirectory&) = delete;
  InstanceDirectory& operator=(const InstanceDirectory&) = delete;

  /// The observer must outlive the directory.
  void AddObserver(InstanceDirectoryObserver& observer) { this->observers.push_back(&observer); }

  /// Takes over one entry unless a newer one, or a newer removal, is known. An instance that was
  /// listed later takes the address of an earlier one, which is gone then.
  void Apply(const UpstreamInstance& instance);

  /// The registry removed the entry at `revision`.
  void Remove(std::string_view name, std::uint64_t revision);

  /// Takes over the whole list as it was at `revision` or later: applies all entries and removes
  /// those that it does not contain, except those that are newer than the list.
  void ApplyList(const std::vector<UpstreamInstance>& list, std::uint64_t revision, TimePoint now);

  /// Takes over entries that another node knows. They imply no removal.
  void ApplyEntries(const std::vector<UpstreamInstance>& entries);

  /// The registry has no entry of this name at `revision`. Like a list without it.
  void ApplyMissing(std::string_view name, std::uint64_t revision, TimePoint now);

  /// The registry did not answer. Removals that a later list implies are held back for a while.
  void OnRegistryUnreachable(TimePoint now);

  /// Returns the instance of this name, or nullptr.
  const UpstreamInstance* Find(std::string_view name) const;

  /// Returns the instance that listens at `address`, or nullptr.
  const UpstreamInstance* FindByAddress(const SocketAddress& address) const;

  /// Calls `visit` with each instance.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [name, instance] : this->instances) {
      visit(instance);
    }
  }

  /// Whether a list was received.
  bool IsPopulated() const { return this->populated; }

  std::size_t Size() const { return this->instances.size(); }

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  /// Removes the instances whose address `instance` has taken over. Returns false if its own
  /// address belongs to one that was listed later.
  bool ClaimAddress(const UpstreamInstance& instance);

  /// Whether entries that are missing may come back, because the registry was away.
  bool AreRemovalsSuspended(TimePoint now);

  const SocketAddress local_address;
  const std::string local_service;
  const Settings settings;
  std::unordered_map<std::string, UpstreamInstance, StringHash, std::equal_to<>> instances;
  /// Name of the instance at each address in text form; an address belongs to one instance.
  std::unordered_map<std::string, std::string, StringHash, std::equal_to<>> names_by_address;
  /// Revision of the removal by name.
  std::unordered_map<std::string, std::uint64_t, StringHash, std::equal_to<>> removal_revisions;
  std::vector<InstanceDirectoryObserver*> observers;
  bool populated = false;
  bool was_unreachable = false;
  TimePoint last_unreachable{};
};

}  // namespace masticpin
