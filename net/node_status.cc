#include "net/node_status.h"

#include <nlohmann/json.hpp>

namespace masticpin {

nlohmann::json ConfigurationToJson(FleetState& fleet, const std::string& name) {
  const Document* document = fleet.Documents().Find(name);
  nlohmann::json configuration;
  configuration["version"] = document == nullptr ? 0 : document->version;
  configuration["source"] = document == nullptr ? "" : document->source.ToString();
  configuration["started_with"] = fleet.Gate().Source();
  configuration["conflicts"] = fleet.Documents().Conflicts();
  configuration["service_calls"] = fleet.Reader().Calls();
  configuration["reader"] = fleet.Readers().Role() == ReaderRole::kReader;
  return configuration;
}

nlohmann::json LoadToJson(const LoadReport& report) {
  nlohmann::json load;
  load["limit"] = report.limit;
  load["in_flight"] = report.in_flight;
  load["queued"] = report.queued;
  load["threshold_importance"] = report.threshold >> 16;
  load["threshold_rank"] = report.threshold & 0xffff;
  return load;
}

nlohmann::json MembersToJson(FleetState& fleet) {
  nlohmann::json members = nlohmann::json::array();
  for (const Ref<Member>& member : fleet.Members().Members()) {
    static constexpr const char* kStates[] = {"live", "unreachable", "leaving"};
    members.push_back({{"name", member->id.name},
                       {"incarnation", member->id.incarnation},
                       {"service", member->service},
                       {"zone", member->zone},
                       {"heard", member->self || member->HasContact()},
                       {"state", kStates[static_cast<int>(member->state)]}});
  }
  return members;
}

}  // namespace masticpin
