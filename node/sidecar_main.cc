#include <gflags/gflags.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "masticpin/settings/sidecar_settings_parser.h"
#include "net/system_clock.h"
#include "net/system_random.h"
#include "platform/store_source.h"
#include "sidecar/event_loop.h"
#include "sidecar/log_sink.h"
#include "sidecar/loop_timer_service.h"
#include "sidecar/sidecar_node.h"

DEFINE_string(settings, "", "settings file; docs/settings-sidecar.md describes its keys");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings_page, false, "print docs/settings-sidecar.md and exit");

namespace {

/// Buffers of at least this size go back to the system when they are freed.
constexpr int kMmapThresholdBytes = 128 << 10;

constexpr int kExitOk = 0;
/// Invalid settings or command line, or an address that cannot be bound.
constexpr int kExitUsage = 2;

std::optional<masticpin::SidecarSettings> ReadSettings(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "masticpin-sidecar: cannot read settings file '" << path
              << "' given by --settings\n";
    return std::nullopt;
  }
  masticpin::SidecarSettingsParseResult parsed =
      masticpin::SidecarSettingsParser::Parse(text.str(), path);
  for (const masticpin::IniProblem& problem : parsed.problems) {
    std::cerr << masticpin::FormatProblem(problem) << "\n";
  }
  return std::move(parsed.settings);
}

}  // namespace

int main(int argc, char** argv) {
  // By default the allocator raises the threshold to the size of the buffers that were freed, and
  // keeps their pages: with 1 MB responses, a process that held 8 MB of them had 100 MB resident.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  gflags::SetUsageMessage("masticpin-sidecar --settings=FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings_page) {
    std::cout << masticpin::SidecarSettingsParser::MarkdownPage();
    return kExitOk;
  }

  // Read the settings.
  const std::optional<masticpin::SidecarSettings> settings = ReadSettings(FLAGS_settings);
  if (!settings.has_value()) {
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  signal(SIGPIPE, SIG_IGN);
  masticpin::InstallLogger(*settings);

  // Serve until a signal requests a shutdown.
  boost::asio::io_context loop(1);
  const masticpin::SystemClock clock;
  masticpin::SystemRandom random;
  masticpin::LoopTimerService timers(loop, clock);
  masticpin::platform::StoreSource source(loop, clock, timers, random, settings->registry_address,
                                          settings->leave_notice_time);
  masticpin::SidecarNode node(
      loop, clock, timers, random, *settings, [] { return ReadSettings(FLAGS_settings); }, source);
  const std::string problem = node.Start();
  if (!problem.empty()) {
    std::cerr << "masticpin-sidecar: " << problem << "\n";
    return kExitUsage;
  }
  masticpin::RunEventLoop(loop);
  return kExitOk;
}
