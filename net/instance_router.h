#pragma once

#include <vector>

#include "masticpin/execution/epoch_counter.h"
#include "masticpin/execution/instance_chooser.h"
#include "masticpin/fleet/fleet_state.h"

namespace masticpin {

/// Chooses executors for a HomeDispatcher from the instances in the fleet state.
class InstanceRouter : public InstanceChooser {
 public:
  /// `epochs` counts the epochs of this process.
  InstanceRouter(FleetState& fleet, const EpochCounter& epochs, RandomSource& random)
      : fleet(fleet), epochs(epochs), random(random) {}

  std::optional<ExecutionTarget> Choose(std::string_view service,
                                        std::span<const std::string> exclude,
                                        Priority priority) override;
  ActionResult LastRefusal() const override;

  /// Returns false if the instance of `service` that would be selected is expected to refuse a
  /// request of `priority`. One in sixteen such requests is admitted as a probe, so that outdated
  /// thresholds are corrected. Returns true if there is no instance to select.
  bool Admits(std::string_view service, Priority priority);

  /// Random delay for callers that are refused because of the thresholds of other instances.
  std::chrono::milliseconds ThresholdRetryAfter() const;

 private:
  FleetState& fleet;
  const EpochCounter& epochs;
  RandomSource& random;
  bool refused_by_threshold = false;
  std::vector<InstanceId> excluded;
};

}  // namespace masticpin
