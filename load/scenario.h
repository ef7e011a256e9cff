#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::load {

/// A stretch of time with constant arrival rates.
struct Phase {
  std::string name;
  Duration length{};
  /// Speed factors of the upstreams of a service while the phase lasts; 1 is the normal speed.
  std::map<std::string, double> speed_factors;
};

/// One kind of action that callers start.
struct RootKind {
  /// "service/kind".
  std::string name;
  /// Arrivals per second, one number for each phase.
  std::vector<double> rates;
  /// Whether the callers use action keys.
  bool use_key = true;
  /// Time that a caller waits for the response of one try.
  Duration deadline = std::chrono::seconds(2);
  /// The bound on attempts that the manifest promises for one action; 0 if there is none.
  std::uint64_t attempts_bound = 0;
  std::size_t body_bytes = 100;
};

/// What the load tool does.
struct Scenario {
  std::uint64_t seed = 1;
  /// Requests in progress at the same time, one thread each.
  std::size_t threads = 1000;
  /// Repetitions of a try that did not end complete.
  int retries = 10;
  /// Mean delay before a repetition; the actual one is uniform from half of it to one and a half.
  Duration retry_delay = std::chrono::milliseconds(100);
  /// Length of a window for the recovery time and the CSV.
  Duration window = std::chrono::milliseconds(250);
  std::vector<Phase> phases;
  /// Index of the phase whose end the recovery time is measured from.
  std::size_t surge = 0;
  std::vector<RootKind> roots;

  Duration PhaseBegin(std::size_t phase) const;
  Duration Length() const { return this->PhaseBegin(this->phases.size()); }

  /// Reads [scenario], [phase NAME] and [root SERVICE/KIND]. Returns nothing and logs the reason if
  /// the file is unusable.
  static std::optional<Scenario> Load(const std::string& path);
  static std::optional<Scenario> Parse(const std::string& text);
};

}  // namespace masticpin::load
