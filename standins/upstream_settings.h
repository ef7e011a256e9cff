#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// One request kind of an upstream.
struct UpstreamKind {
  /// Own work, without the inner calls: uniformly distributed in service_time +- jitter.
  Duration service_time = std::chrono::milliseconds(100);
  Duration jitter{};
  /// An idempotent kind commits nothing, so repeating it does no harm.
  bool idempotent = false;
  /// Inner calls as "service/kind", made in this order before the own work.
  std::vector<std::string> calls;
  /// Size of the filling in the response body.
  std::size_t response_bytes = 200;
};

/// What the load endpoint reports.
enum class LoadReportMode : std::uint8_t { kActual, kAlwaysIdle, kAlwaysBusy };

/// Settings of one upstream instance.
struct UpstreamSettings {
  std::string name;
  std::string service;
  std::string address;
  /// HTTP address of the node beside this upstream.
  std::string node_address;
  std::size_t slots = 10;
  /// Requests that may wait for a slot; beyond them work is shed.
  std::size_t queue = 20;
  std::size_t connections = 600;
  /// Service times are divided by it.
  double speed_factor = 1.0;
  /// Service times grow by this share for each waiting request per slot.
  double queue_slowdown = 0.5;
  /// Service times start at this multiple and fall to the normal value during the cold start.
  double cold_start_factor = 1.0;
  Duration cold_start{};
  /// Age of the figures at the load endpoint.
  Duration load_lag = std::chrono::seconds(2);
  LoadReportMode load_report = LoadReportMode::kActual;
  std::map<std::string, UpstreamKind> kinds;

  /// Reads an INI file with [upstream] and one [kind NAME] for each kind. Returns nothing and logs
  /// the reason if it is unusable.
  static std::optional<UpstreamSettings> Load(const std::string& path);
  static std::optional<UpstreamSettings> Parse(const std::string& text);
};

}  // namespace masticpin::standins
