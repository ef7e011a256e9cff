#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load/action.h"
#include "load/run_table.h"
#include "load/scenario.h"

namespace masticpin::load {

/// Times, result and keys of one action.
struct ActionRecord {
  std::size_t root = 0;
  /// Times since the start of the run.
  Duration arrived{};
  Duration ended{};
  /// False if no thread was free for its first try.
  bool sent = true;
  Outcome outcome = Outcome::kUnknown;
  bool wrong_response = false;
  std::vector<Action::KeyUse> keys;
};

/// Results of the actions of one root kind.
struct KindReport {
  std::string kind;
  /// Arrivals that were sent.
  std::uint64_t offered = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t outcome_unknown = 0;
  /// Actions for which a call that commits ran more than once.
  std::uint64_t run_twice = 0;
  /// Keys whose last reported outcome was "not run" although the root kind or a call that commits
  /// ran.
  std::uint64_t not_run_but_run = 0;
  std::uint64_t wrong_response = 0;
  /// Maximum over all actions of the number of requests that reached upstreams for one action.
  std::uint64_t max_attempts = 0;
  std::uint64_t attempts_bound = 0;
  /// Actions that completed in each phase, per second.
  std::vector<double> goodput;
  /// Latency of complete actions, from the arrival to the response.
  Duration p50{};
  Duration p99{};
  /// Time from the end of the surge to the point after which all windows are as good as before the
  /// surge; nothing if there is no such point.
  std::optional<Duration> recovery;
};

/// Results of the actions of one kind that arrived in one window of time.
struct Window {
  std::uint64_t offered = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t outcome_unknown = 0;
  Duration p99{};
};

/// Evaluates the records of one run.
class Report {
 public:
  /// All references must outlive the object.
  Report(const Scenario& scenario, const std::vector<ActionRecord>& records, const RunTable& runs)
      : scenario(scenario), records(records), runs(runs) {}

  KindReport Evaluate(std::size_t root) const;

  /// Returns the windows of one root kind in order of time.
  std::vector<Window> Windows(std::size_t root) const;

  /// Returns one line of key=value pairs.
  std::string ToLine(const KindReport& report) const;
  /// Returns the outcomes and latencies of all kinds over time.
  std::string ToCsv() const;

 private:
  void CountRuns(const ActionRecord& record, KindReport& report) const;
  std::optional<Duration> Recovery(std::size_t root) const;

  const Scenario& scenario;
  const std::vector<ActionRecord>& records;
  const RunTable& runs;
};

/// Returns the percentile of `values` for `share` (0.99 for p99); 0 if there are no values.
Duration Percentile(std::vector<Duration> values, double share);

}  // namespace masticpin::load
