#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::load {

/// A period with constant arrival rates.
struct Phase {
  std::string name;
  Duration length{};
  /// Speed factors of the upstreams by service during the phase; 1 is the normal speed.
  std::map<std::string, double> speed_factors;
};

/// A kind of action that callers start, as opposed to the kinds of inner calls.
struct RootKind {
  /// "service/kind".
  std::string name;
  /// Arrivals per second in each phase.
  std::vector<double> rates;
  /// Whether the callers use action keys.
  bool use_key = true;
  /// Deadline of one try, relative to its start.
  Duration deadline = std::chrono::seconds(2);
  /// Maximum number of attempts for one action that the manifest guarantees; 0 if there is none.
  std::uint64_t attempts_bound = 0;
  std::size_t body_bytes = 100;
};

/// Settings of one run of the load tool.
struct Scenario {
  std::uint64_t seed = 1;
  /// Maximum number of requests in progress, with one thread for each.
  std::size_t threads = 1000;
  /// Maximum number of retries of an action, not counting the immediate ones after a 428 response.
  int retries = 10;
  /// Mean delay before a retry. Delays are uniformly distributed in 0.5 to 1.5 times the mean.
  Duration retry_delay = std::chrono::milliseconds(100);
  /// Length of the windows for the recovery time and the CSV file.
  Duration window = std::chrono::milliseconds(250);
  std::vector<Phase> phases;
  /// Index of the surge phase. The recovery time is measured from its end.
  std::size_t surge = 0;
  std::vector<RootKind> roots;

  Duration PhaseBegin(std::size_t phase) const;
  Duration Length() const { return this->PhaseBegin(this->phases.size()); }

  /// Reads an INI file with the sections [scenario], [phase NAME] and [root SERVICE/KIND]. Returns
  /// nothing and logs the reason if the scenario is invalid.
  static std::optional<Scenario> Load(const std::string& path);
  static std::optional<Scenario> Parse(const std::string& text);
};

}  // namespace masticpin::load
