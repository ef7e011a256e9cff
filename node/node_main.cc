#include <gflags/gflags.h>
#include <signal.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>

#include "masticpin/settings/settings_parser.h"
#include "net/node.h"

DEFINE_string(settings, "", "settings file; docs/settings.md describes its keys");
DEFINE_bool(check, false, "check the settings, print their parsed values, and exit");

namespace {

constexpr int kExitOk = 0;
/// Invalid settings or command line, or an address that cannot be bound.
constexpr int kExitUsage = 2;

std::atomic<bool> stop_requested = false;

void OnSignal(int) {
  stop_requested = true;
}

std::optional<masticpin::NodeSettings> ReadSettings(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "masticpin-node: cannot read settings file '" << path << "' given by --settings\n";
    return std::nullopt;
  }
  masticpin::SettingsParseResult parsed = masticpin::SettingsParser::Parse(text.str(), path);
  for (const masticpin::SettingsProblem& problem : parsed.problems) {
    std::cerr << masticpin::FormatProblem(problem) << "\n";
  }
  return std::move(parsed.settings);
}

void PrintSettings(const masticpin::NodeSettings& settings) {
  std::cout << "name=" << settings.name << " service=" << settings.service
            << " zone=" << settings.zone << "\nhttp_address=" << settings.http_address.ToString()
            << " peer_address=" << settings.peer_address.ToString()
            << " upstream_address=" << settings.upstream_address.ToString()
            << " platform_address=" << settings.platform_address.ToString()
            << "\ndocument=" << settings.document
            << " plaintext=" << (settings.plaintext ? "yes" : "no")
            << " log_level=" << settings.log_level << "\n";
}

/// Returns false if the log file cannot be opened.
bool InstallLogger(const masticpin::NodeSettings& settings) {
  try {
    std::shared_ptr<spdlog::logger> logger =
        settings.log_file.empty() ? spdlog::stderr_logger_mt("masticpin")
                                  : spdlog::basic_logger_mt("masticpin", settings.log_file);
    // One line of key=value pairs per event.
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(settings.log_level));
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(std::chrono::seconds(1));
    return true;
  } catch (const spdlog::spdlog_ex& error) {
    std::cerr << "masticpin-node: cannot open log file '" << settings.log_file
              << "': " << error.what() << "\n";
    return false;
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("masticpin-node --settings=FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);

  // Read the settings.
  const std::optional<masticpin::NodeSettings> settings = ReadSettings(FLAGS_settings);
  if (!settings.has_value()) {
    return kExitUsage;
  }
  if (FLAGS_check) {
    PrintSettings(*settings);
    return kExitOk;
  }
  if (!InstallLogger(*settings)) {
    return kExitUsage;
  }

  // Serve until a signal or an operator requests a shutdown.
  signal(SIGTERM, &OnSignal);
  signal(SIGINT, &OnSignal);
  signal(SIGPIPE, SIG_IGN);
  masticpin::Node node(*settings);
  const std::string problem = node.Start();
  if (!problem.empty()) {
    std::cerr << "masticpin-node: " << problem << "\n";
    return kExitUsage;
  }
  node.RunUntilDrained([] { return stop_requested.load(); });
  return kExitOk;
}
