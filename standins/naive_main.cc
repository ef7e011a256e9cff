#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include "net/system_random.h"
#include "standins/ini_file.h"
#include "standins/naive_forwarder.h"
#include "standins/run_until_signal.h"

DEFINE_string(settings, "", "INI file with the settings, in the format of a node");

int main(int argc, char** argv) {
  using namespace masticpin;  // NOLINT(google-build-using-namespace)
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::BlockStopSignals();

  const auto file = standins::IniFile::Load(FLAGS_settings);
  if (!file) {
    return 1;
  }
  const standins::IniSection& node = file->Section("node");
  SystemRandom random;
  standins::NaiveForwarder forwarder({.name = node.Get("name"),
                                      .service = node.Get("service"),
                                      .http_address = node.Get("http_address"),
                                      .upstream_address = node.Get("upstream_address"),
                                      .platform_address = node.Get("platform_address")},
                                     random);
  if (forwarder.Http().Bind(node.Get("http_address")) < 0) {
    return 1;
  }
  forwarder.StartRefresh();
  spdlog::info("event=serving name={} address={}", node.Get("name"), node.Get("http_address"));
  standins::RunUntilSignal(forwarder.Http());
  return 0;
}
