#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "masticpin/fleet/fleet_state.h"
#include "masticpin/routing/load_report.h"

namespace masticpin {

/// Describes the configuration document `name` in force and where it came from.
nlohmann::json ConfigurationToJson(FleetState& fleet, const std::string& name);

/// Describes the load of the upstream.
nlohmann::json LoadToJson(const LoadReport& report);

/// Describes the known instances, as an array.
nlohmann::json MembersToJson(FleetState& fleet);

}  // namespace masticpin
