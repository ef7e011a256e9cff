#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Settings of one request kind of an upstream.
struct UpstreamKind {
  /// Time for the upstream's work without inner calls, uniformly distributed in service_time +-
  /// jitter.
  Duration service_time = std::chrono::milliseconds(100);
  Duration jitter{};
  /// An idempotent kind commits nothing, so it can safely run more than once.
  bool idempotent = false;
  /// Inner calls as "service/kind", made in this order before the upstream's work.
  std::vector<std::string> calls;
  /// Size of the padding ("data") in the response body.
  std::size_t response_bytes = 200;
};

/// Whether the load endpoint reports the actual load or a fixed one.
enum class LoadReportMode : std::uint8_t { kActual, kAlwaysIdle, kAlwaysBusy };

/// Settings of one upstream instance.
struct UpstreamSettings {
  std::string name;
  std::string service;
  std::string address;
  /// HTTP address of the node of this upstream.
  std::string node_address;
  std::size_t slots = 10;
  /// Maximum number of requests that wait for a slot; further requests are shed.
  std::size_t queue = 20;
  std::size_t connections = 600;
  /// Service times are divided by this factor.
  double speed_factor = 1.0;
  /// Service times are multiplied by 1 + queue_slowdown * (waiting requests / slots).
  double queue_slowdown = 0.5;
  /// Service times are multiplied by a factor that falls linearly from cold_start_factor to 1
  /// during the time cold_start after the start.
  double cold_start_factor = 1.0;
  Duration cold_start{};
  /// Delay after which the load endpoint reports a change of the load.
  Duration load_lag = std::chrono::seconds(2);
  LoadReportMode load_report = LoadReportMode::kActual;
  std::map<std::string, UpstreamKind> kinds;

  /// Reads an INI file with a section [upstream] and one section [kind NAME] for each kind. Returns
  /// nothing and logs the reason if the settings are invalid.
  static std::optional<UpstreamSettings> Load(const std::string& path);
  static std::optional<UpstreamSettings> Parse(const std::string& text);
};

}  // namespace masticpin::standins
