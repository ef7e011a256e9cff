#include "load/scenario.h"

#include <spdlog/spdlog.h>

#include "standins/ini_file.h"

namespace masticpin::load {

namespace {

using standins::IniFile;
using standins::IniSection;

// Parses, for example, "speed = dues 0.5, levies 0.2".
std::map<std::string, double> ParseSpeedFactors(const IniSection& section) {
  std::map<std::string, double> factors;
  for (const std::string& entry : section.GetList("speed")) {
    const std::size_t blank = entry.find(' ');
    if (blank != std::string::npos) {
      factors[entry.substr(0, blank)] = std::strtod(entry.c_str() + blank, nullptr);
    }
  }
  return factors;
}

RootKind ParseRoot(const std::string& name,
                   const IniSection& section,
                   const std::vector<Phase>& phases) {
  RootKind root;
  root.name = name;
  for (const Phase& phase : phases) {
    root.rates.push_back(section.GetDouble("rate_" + phase.name, 0));
  }
  root.use_key = section.GetBool("key", root.use_key);
  root.deadline = section.GetMilliseconds("deadline_ms", root.deadline);
  root.attempts_bound = section.GetInt("attempts_bound", 0);
  root.body_bytes = section.GetInt("body_bytes", root.body_bytes);
  return root;
}

}  // namespace

Duration Scenario::PhaseBegin(std::size_t phase) const {
  Duration begin{};
  for (std::size_t i = 0; i < phase; ++i) {
    begin += this->phases[i].length;
  }
  return begin;
}

std::optional<Scenario> Scenario::Load(const std::string& path) {
  const std::optional<std::string> text = standins::ReadFile(path);
  return text ? Parse(*text) : std::nullopt;
}

std::optional<Scenario> Scenario::Parse(const std::string& text) {
  const std::optional<IniFile> file = IniFile::Parse(text);
  if (!file) {
    return std::nullopt;
  }
  const IniSection& section = file->Section("scenario");
  Scenario scenario;
  scenario.seed = section.GetInt("seed", 1);
  scenario.threads = section.GetInt("threads", 1000);
  scenario.retries = static_cast<int>(section.GetInt("retries", scenario.retries));
  scenario.retry_delay = section.GetMilliseconds("retry_delay_ms", scenario.retry_delay);
  scenario.window = section.GetMilliseconds("window_ms", scenario.window);

  const std::string surge = section.Get("surge", "surge");
  bool has_surge = false;
  for (const auto& [name, phase] : file->SectionsOfType("phase")) {
    if (name == surge) {
      scenario.surge = scenario.phases.size();
      has_surge = true;
    }
    const Duration length = std::chrono::milliseconds(phase->GetInt("length_ms", 0));
    scenario.phases.push_back({name, length, ParseSpeedFactors(*phase)});
  }
  for (const auto& [name, root] : file->SectionsOfType("root")) {
    scenario.roots.push_back(ParseRoot(name, *root, scenario.phases));
  }
  if (!has_surge || scenario.surge == 0 || scenario.roots.empty() || scenario.threads == 0 ||
      scenario.window <= Duration::zero()) {
    spdlog::error("event=scenario_unusable phases={} roots={} surge={}", scenario.phases.size(),
                  scenario.roots.size(), surge);
    return std::nullopt;
  }
  return scenario;
}

}  // namespace masticpin::load
