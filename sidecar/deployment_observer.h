#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// Gets what a platform publishes about the deployment.
class DeploymentObserver {
 public:
  virtual ~DeploymentObserver() = default;

  /// A valid configuration was read; it may be one that is already known or older.
  virtual void OnConfiguration(Ref<const RoutingConfiguration> configuration) = 0;

  /// The whole list of instances as it was at `revision` or later.
  virtual void OnInstanceList(const std::vector<UpstreamInstance>& list,
                              std::uint64_t revision) = 0;

  /// News about a single instance.
  virtual void OnInstanceEntry(const UpstreamInstance& instance) = 0;
  /// The registry has no entry of this name at `revision`.
  virtual void OnInstanceEntryMissing(std::string_view name, std::uint64_t revision) = 0;

  /// The registry does not answer, still does not answer, or answers again.
  virtual void OnRegistryUnavailable(std::string_view reason) = 0;
  virtual void OnRegistryStillUnavailable() = 0;
  virtual void OnRegistryRecovered() = 0;
};

}  // namespace masticpin
