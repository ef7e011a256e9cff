#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "load/load_runner.h"
#include "net/system_random.h"
#include "standins/ini_file.h"

DEFINE_string(scenario, "", "INI file with the scenario");
DEFINE_string(platform, "", "Address of the platform, whose instance list gives the entry nodes");
DEFINE_string(upstreams, "", "Upstreams, as comma-separated service@address");
DEFINE_string(csv, "", "CSV file to write with the results over time");
DEFINE_string(label, "masticpin", "Value of version= at the start of each result line");
DEFINE_bool(generate_keys, false, "Generate action keys instead of using those of the nodes");

namespace masticpin::load {
namespace {

std::vector<std::string> ReadEntryNodes(standins::ClientPool& clients) {
  httplib::Request request;
  request.method = "GET";
  request.path = "/v1/instances";
  const auto send_result = clients.Send(FLAGS_platform, request, std::chrono::seconds(5));
  const auto list = nlohmann::json::parse(send_result.response.body, nullptr, false);
  std::vector<std::string> entry_nodes;
  for (const auto& instance : list) {
    if (instance.is_object() && instance.value("state", "") == "live") {
      entry_nodes.push_back(instance.value("http", ""));
    }
  }
  return entry_nodes;
}

bool ReadRuns(standins::ClientPool& clients, const LoadTargets& targets, RunTable& runs) {
  httplib::Request request;
  request.method = "GET";
  request.path = "/_upstream/actions";
  bool success = true;
  for (const auto& [service, address] : targets.upstreams) {
    const auto send_result = clients.Send(address, request, std::chrono::seconds(30));
    if (!send_result.complete || !runs.Add(send_result.response.body)) {
      spdlog::error("event=runs_unreadable upstream={}", address);
      success = false;
    }
  }
  return success;
}

int Run() {
  const auto scenario = Scenario::Load(FLAGS_scenario);
  if (!scenario) {
    return 1;
  }
  standins::ClientPool clients;
  LoadTargets targets;
  targets.entry_nodes = ReadEntryNodes(clients);
  targets.generate_keys = FLAGS_generate_keys;
  for (const std::string& entry : standins::SplitList(FLAGS_upstreams)) {
    const std::size_t at = std::min(entry.find('@'), entry.size() - 1);
    targets.upstreams.emplace(entry.substr(0, at), entry.substr(at + 1));
  }
  if (targets.entry_nodes.empty()) {
    spdlog::error("event=no_entry_nodes platform={}", FLAGS_platform);
    return 1;
  }

  SystemRandom random;
  LoadRunner runner(*scenario, targets, random);
  const std::vector<ActionRecord> records = runner.Run();
  RunTable runs;
  const bool counted = ReadRuns(clients, targets, runs);

  const Report report(*scenario, records, runs);
  for (std::size_t root = 0; root < scenario->roots.size(); ++root) {
    std::printf("version=%s %s\n", FLAGS_label.c_str(),
                report.ToLine(report.Evaluate(root)).c_str());
  }
  if (!FLAGS_csv.empty()) {
    std::ofstream(FLAGS_csv) << report.ToCsv();
  }
  // If the counts of an upstream are missing, the result lines are not a full check.
  return counted ? 0 : 1;
}

}  // namespace
}  // namespace masticpin::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return masticpin::load::Run();
}
