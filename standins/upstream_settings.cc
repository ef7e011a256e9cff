#include "standins/upstream_settings.h"

#include <spdlog/spdlog.h>

#include "standins/ini_file.h"

namespace masticpin::standins {

namespace {

LoadReportMode ParseLoadReport(const std::string& text) {
  if (text == "idle") {
    return LoadReportMode::kAlwaysIdle;
  }
  return text == "busy" ? LoadReportMode::kAlwaysBusy : LoadReportMode::kActual;
}

UpstreamKind ParseKind(const IniSection& section) {
  UpstreamKind kind;
  kind.service_time = section.GetMilliseconds("service_ms", kind.service_time);
  kind.jitter = section.GetMilliseconds("jitter_ms", kind.jitter);
  kind.idempotent = section.GetBool("idempotent", kind.idempotent);
  kind.calls = section.GetList("calls");
  kind.response_bytes = section.GetInt("response_bytes", kind.response_bytes);
  return kind;
}

}  // namespace

std::optional<UpstreamSettings> UpstreamSettings::Load(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  return text ? Parse(*text) : std::nullopt;
}

std::optional<UpstreamSettings> UpstreamSettings::Parse(const std::string& text) {
  const std::optional<IniFile> file = IniFile::Parse(text);
  if (!file) {
    return std::nullopt;
  }
  const IniSection& section = file->Section("upstream");
  UpstreamSettings settings;
  settings.name = section.Get("name");
  settings.service = section.Get("service");
  settings.address = section.Get("address");
  settings.node_address = section.Get("node_address");
  settings.slots = section.GetInt("slots", settings.slots);
  settings.queue = section.GetInt("queue", settings.queue);
  settings.connections = section.GetInt("connections", settings.connections);
  settings.speed_factor = section.GetDouble("speed_factor", settings.speed_factor);
  settings.queue_slowdown = section.GetDouble("queue_slowdown", settings.queue_slowdown);
  settings.cold_start_factor = section.GetDouble("cold_start_factor", settings.cold_start_factor);
  settings.cold_start = section.GetMilliseconds("cold_start_ms", settings.cold_start);
  settings.load_lag = section.GetMilliseconds("load_lag_ms", settings.load_lag);
  settings.load_report = ParseLoadReport(section.Get("load_report", "true"));
  for (const auto& [name, kind] : file->SectionsOfType("kind")) {
    settings.kinds[name] = ParseKind(*kind);
  }
  if (settings.service.empty() || settings.address.empty() || settings.kinds.empty() ||
      settings.slots == 0 || settings.speed_factor <= 0) {
    spdlog::error("event=upstream_settings_unusable name={} service={} address={} kinds={}",
                  settings.name, settings.service, settings.address, settings.kinds.size());
    return std::nullopt;
  }
  return settings;
}

}  // namespace masticpin::standins
