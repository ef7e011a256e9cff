#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include "net/system_clock.h"
#include "standins/ini_file.h"
#include "standins/platform_server.h"
#include "standins/run_until_signal.h"

DEFINE_string(address, "127.0.0.1:0", "Address to listen on, as ip:port");
DEFINE_string(documents, "", "Documents to publish, as comma-separated name=file");
DEFINE_string(instances, "", "JSON file with the initial instance list");
DEFINE_int32(list_lag_ms, 2000, "Delay until a change of the instance list is visible");
DEFINE_uint64(calls_per_second, 2000, "Rate limit of the configuration service");

namespace masticpin::standins {
namespace {

bool PublishAll(ConfigStore& store) {
  for (const std::string& entry : SplitList(FLAGS_documents)) {
    const std::size_t equals = entry.find('=');
    const auto text =
        equals == std::string::npos ? std::nullopt : ReadFile(entry.substr(equals + 1));
    if (!text) {
      spdlog::error("event=document_unusable entry={}", entry);
      return false;
    }
    store.Publish(entry.substr(0, equals), *text);
  }
  return true;
}

int Run() {
  const SystemClock clock;
  ConfigStore store(clock, FLAGS_calls_per_second);
  const auto text = ReadFile(FLAGS_instances);
  auto list = nlohmann::json::parse(text.value_or(""), nullptr, false);
  if (!list.is_array() || !PublishAll(store)) {
    spdlog::error("event=instances_unusable file={}", FLAGS_instances);
    return 1;
  }
  InstanceList instances(clock, std::move(list), std::chrono::milliseconds(FLAGS_list_lag_ms));
  PlatformServer server(store, instances);
  if (server.Http().Bind(FLAGS_address) < 0) {
    return 1;
  }
  spdlog::info("event=serving address={}", FLAGS_address);
  RunUntilSignal(server.Http(), [&server] { server.EndWatches(); });
  return 0;
}

}  // namespace
}  // namespace masticpin::standins

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  masticpin::standins::BlockStopSignals();
  return masticpin::standins::Run();
}
