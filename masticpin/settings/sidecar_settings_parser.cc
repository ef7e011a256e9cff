#include "masticpin/settings/sidecar_settings_parser.h"

#include <array>
#include <charconv>
#include <utility>

#include "masticpin/base/ini_document.h"
#include "masticpin/settings/settings_table.h"

namespace masticpin {
namespace {

using Key = SettingsKey<SidecarSettings>;

// Parses a decimal number; returns false if it is invalid or below `min`.
template <typename T>
bool ReadNumber(std::string_view text, T min, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= min;
}

bool ApplyMemory(SidecarSettings& settings, std::string_view value) {
  constexpr std::size_t kMinMemoryMb = 32;
  return ReadNumber(value, kMinMemoryMb, settings.memory_mb);
}

bool ApplyStopTime(SidecarSettings& settings, std::string_view value) {
  double seconds = 0;
  if (!ReadNumber(value, 1.0, seconds) || seconds > 3600) {
    return false;
  }
  settings.stop_time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return true;
}

bool ApplyLeaveNotice(SidecarSettings& settings, std::string_view value) {
  std::uint32_t milliseconds = 0;
  if (!ReadNumber<std::uint32_t>(value, 500, milliseconds)) {
    return false;
  }
  settings.leave_notice_time = std::chrono::milliseconds(milliseconds);
  return true;
}

bool ApplyRetryRatio(SidecarSettings& settings, std::string_view value) {
  return ReadNumber(value, 0.0, settings.retries.ratio) && settings.retries.ratio <= 1;
}

bool ApplyRetrySlack(SidecarSettings& settings, std::string_view value) {
  return ReadNumber(value, 0.0, settings.retries.slack);
}

bool ApplyRetryWindow(SidecarSettings& settings, std::string_view value) {
  double seconds = 0;
  if (!ReadNumber(value, 1.0, seconds) || seconds > 3600) {
    return false;
  }
  settings.retries.window =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return true;
}

bool ApplyAllotmentAddress(SidecarSettings& settings, std::string_view value) {
  settings.allotment_address = SocketAddress::Parse(value);
  return value.empty() || settings.allotment_address.has_value();
}

bool ApplyAllotmentTolerance(SidecarSettings& settings, std::string_view value) {
  return ReadNumber(value, 0.0, settings.allotment_tolerance.share) &&
         settings.allotment_tolerance.share <= 1;
}

bool ApplyAllotmentSlack(SidecarSettings& settings, std::string_view value) {
  return ReadNumber(value, 0.0, settings.allotment_tolerance.requests);
}

bool ApplyMinimumShare(SidecarSettings& settings, std::string_view value) {
  constexpr double kMaxMinimumShare = 0.5;
  return ReadNumber(value, 0.0, settings.minimum_share) &&
         settings.minimum_share <= kMaxMinimumShare;
}

bool ApplyLearnSpeed(SidecarSettings& settings, std::string_view value) {
  settings.learn_speed = value == "yes";
  return value == "yes" || value == "no";
}

bool ApplyLogLines(SidecarSettings& settings, std::string_view value) {
  return ReadNumber<std::size_t>(value, 0, settings.log_lines_per_second);
}

// All keys of the settings file.
const std::array<Key, 22> kKeys = {{
    {"node", "name", std::nullopt, kAllowedNames, "Name of the machine, for logs.",
     &ApplyName<SidecarSettings, &SidecarSettings::name>},
    {"node", "service", std::nullopt, kAllowedNames, "Service of the upstream beside the node.",
     &ApplyName<SidecarSettings, &SidecarSettings::service>},
    {"node", "zone", std::nullopt, kAllowedNames, "Availability zone of the machine.",
     &ApplyName<SidecarSettings, &SidecarSettings::zone>},
    {"node", "request_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts callers and the upstream's own calls.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::request_address>},
    {"node", "peer_address", std::nullopt, kAllowedAddresses,
     "Address at which the node accepts other nodes. All nodes use the same port.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::peer_address>},
    {"node", "ready_address", std::nullopt, kAllowedAddresses,
     "Address at which the platform asks whether the node is ready.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::ready_address>},
    {"node", "metrics_address", std::nullopt, kAllowedAddresses,
     "Address at which metrics are served under `/metrics`.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::metrics_address>},
    {"node", "upstream_address", std::nullopt, kAllowedAddresses,
     "Address of the upstream's HTTP server.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::upstream_address>},
    {"node", "registry_address", std::nullopt, kAllowedAddresses,
     "Address of the platform's store, which holds the configuration and the list of instances.",
     &ApplyAddress<SidecarSettings, &SidecarSettings::registry_address>},
    {"limits", "memory_mb", "256", "a whole number, at least 32",
     "Memory of the process in MB. Bodies of messages in progress take at most half of it.",
     &ApplyMemory},
    {"limits", "stop_seconds", "6", "a number from 1 to 3600",
     "Time from SIGTERM to the latest end of the process.", &ApplyStopTime},
    {"limits", "leave_notice_ms", "2000", "a whole number, at least 500",
     "Time within which a leaving instance must get no more requests.", &ApplyLeaveNotice},
    {"retries", "ratio", "0.2", "a number from 0 to 1",
     "Repeats that all nodes together may send to a service, as a share of the requests for it.",
     &ApplyRetryRatio},
    {"retries", "slack", "48", "a number, at least 0",
     "Repeats that all nodes together may send to a service in any window besides that share.",
     &ApplyRetrySlack},
    {"retries", "window_seconds", "10", "a number from 1 to 3600",
     "Length of the window over which repeats are counted.", &ApplyRetryWindow},
    {"allotments", "address", "", kAllowedAddresses,
     "Address at which nodes exchange reports about the allotments of client accounts, as "
     "datagrams. All nodes use the same port. Without it, each node admits an equal share of each "
     "allotment.",
     &ApplyAllotmentAddress},
    {"allotments", "tolerance", "0", "a number from 0 to 1",
     "Share by which all nodes together may exceed an allotment. Nodes admit half of it.",
     &ApplyAllotmentTolerance},
    {"allotments", "slack", "0", "a number, at least 0",
     "Requests by which all nodes together may exceed an allotment in a few seconds, besides that "
     "share. Nodes admit half of them.",
     &ApplyAllotmentSlack},
    {"importance", "minimum_share", "0", "a number from 0 to 0.5",
     "Share of the requests of every route that has the highest importance, so that under a long "
     "overload some requests of each route are served.",
     &ApplyMinimumShare},
    {"placement", "learn_speed", "no", "`yes` or `no`",
     "Whether to learn the speed of instances from their work times and to send them requests "
     "accordingly.",
     &ApplyLearnSpeed},
    {"log", "level", "info", kAllowedLogLevels, "Least severe level that is logged.",
     &ApplyLogLevel<SidecarSettings>},
    {"log", "lines_per_second", "200", "a whole number",
     "Most log lines a second; further lines are counted and the count is logged.", &ApplyLogLines},
}};

// Two servers cannot share an address, and the upstream address must not be an address of the node.
void CheckAddresses(const SidecarSettings& settings, IniProblemList& problems) {
  const std::array<std::pair<std::string_view, const SocketAddress*>, 5> addresses = {{
      {"request_address", &settings.request_address},
      {"peer_address", &settings.peer_address},
      {"ready_address", &settings.ready_address},
      {"metrics_address", &settings.metrics_address},
      {"upstream_address", &settings.upstream_address},
  }};
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (*addresses[i].second == *addresses[j].second) {
        problems.Add(0, "node", addresses[i].first,
                     "must differ from " + std::string(addresses[j].first));
      }
    }
  }
}

}  // namespace

SidecarSettingsParseResult SidecarSettingsParser::Parse(std::string_view text,
                                                        std::string_view file_name) {
  IniProblemList problems(file_name);
  SidecarSettings settings;
  const std::optional<IniDocument> document = ReadIniDocument(text, kMaxTextBytes, problems);
  if (document) {
    ReadSettings<SidecarSettings>(*document, kKeys, problems, settings);
  }
  if (problems.Empty()) {
    CheckAddresses(settings, problems);
  }
  SidecarSettingsParseResult result;
  if (problems.Empty()) {
    result.settings = std::move(settings);
  }
  result.problems = problems.Take();
  return result;
}

std::string SidecarSettingsParser::MarkdownPage() {
  return FormatSettingsPage<SidecarSettings>(
      "# Settings of a sidecar\n"
      "\n"
      "`masticpin-sidecar` reads its settings from an INI file. `masticpin-sidecar "
      "--print_settings_page`\n"
      "prints this page from the table that the program checks the file against. Lines that start "
      "with `;`\n"
      "or `#` are comments. Unknown sections and keys are refused.\n",
      kKeys);
}

}  // namespace masticpin
