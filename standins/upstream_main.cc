#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include "net/system_clock.h"
#include "net/system_random.h"
#include "standins/http_inner_caller.h"
#include "standins/run_until_signal.h"
#include "standins/upstream_server.h"

DEFINE_string(settings, "", "INI file with the settings of the upstream");

int main(int argc, char** argv) {
  using namespace masticpin;  // NOLINT(google-build-using-namespace)
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::BlockStopSignals();

  const auto settings = standins::UpstreamSettings::Load(FLAGS_settings);
  if (!settings) {
    return 1;
  }
  const SystemClock clock;
  SystemRandom random;
  standins::HttpInnerCaller inner_caller(settings->node_address);
  standins::Upstream upstream(*settings, clock, random, inner_caller);
  standins::UpstreamServer server(upstream, random);
  if (server.Http().Bind(settings->address) < 0) {
    return 1;
  }
  spdlog::info("event=serving name={} address={}", settings->name, settings->address);
  standins::RunUntilSignal(server.Http());
  return 0;
}
