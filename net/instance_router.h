#pragma once

#include <vector>

#include "masticpin/execution/instance_chooser.h"
#include "masticpin/fleet/fleet_state.h"

namespace masticpin {

/// Chooses executors for a HomeDispatcher among the instances that the fleet state knows.
class InstanceRouter : public InstanceChooser {
 public:
  explicit InstanceRouter(FleetState& fleet) : fleet(fleet) {}

  std::optional<ExecutionTarget> Choose(std::string_view service,
                                        std::span<const std::string> exclude,
                                        Priority priority) override;

 private:
  FleetState& fleet;
  std::vector<InstanceId> excluded;
};

}  // namespace masticpin
