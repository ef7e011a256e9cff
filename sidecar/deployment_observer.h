#pragma once

#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"
#include "masticpin/routing/registry_revision.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// Receives what a platform publishes about the deployment.
class DeploymentObserver {
 public:
  virtual ~DeploymentObserver() = default;

  /// Called when a valid configuration was read, which may be already known or older.
  virtual void OnConfiguration(Ref<const RoutingConfiguration> configuration) = 0;

  /// Called with the complete list of instances as of `revision` or later.
  virtual void OnInstanceList(const std::vector<UpstreamInstance>& list,
                              RegistryRevision revision) = 0;

  /// Called with the current entry of a single instance.
  virtual void OnInstanceEntry(const UpstreamInstance& instance) = 0;
  /// Called when the registry has no entry of this name at `revision`.
  virtual void OnInstanceEntryMissing(std::string_view name, RegistryRevision revision) = 0;

  /// Called when the registry has returned from an older copy, before anything that was read after
  /// the return is reported. `revision` is the first revision that was read in the new era. Also
  /// called for the first read of a node if the registry states an era, because the return may have
  /// been a moment ago.
  virtual void OnRegistryReturned(RegistryRevision revision) = 0;

  /// Called when the registry becomes unavailable, at each further failed read, and when it
  /// recovers. `outage` is the time between its last two responses.
  virtual void OnRegistryUnavailable(std::string_view reason) = 0;
  virtual void OnRegistryStillUnavailable() = 0;
  virtual void OnRegistryRecovered(Duration outage) = 0;
};

}  // namespace masticpin
