#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load/action.h"
#include "load/run_table.h"
#include "load/scenario.h"

namespace masticpin::load {

/// How one action went.
struct ActionRecord {
  std::size_t root = 0;
  /// Times since the start of the run.
  Duration arrived{};
  Duration ended{};
  /// False if there was no free thread for its first try.
  bool sent = true;
  Outcome outcome = Outcome::kUnknown;
  bool wrong_response = false;
  std::vector<Action::KeyUse> keys;
};

/// Result of one root kind.
struct KindReport {
  std::string kind;
  /// Arrivals that were sent.
  std::uint64_t offered = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t outcome_unknown = 0;
  /// Actions of which some call with an effect ran more than once.
  std::uint64_t run_twice = 0;
  /// Keys that were reported "not run" at last, although the root kind or a call with an effect
  /// ran.
  std::uint64_t not_run_but_run = 0;
  std::uint64_t wrong_response = 0;
  /// Requests that reached an upstream because of one action: the largest number of all actions.
  std::uint64_t max_attempts = 0;
  std::uint64_t attempts_bound = 0;
  /// Complete actions per second that ended in each phase.
  std::vector<double> goodput;
  /// Latency of complete actions, from the arrival to the response.
  Duration p50{};
  Duration p99{};
  /// Time from the end of the surge until all later windows are as before it; nothing if never.
  std::optional<Duration> recovery;
};

/// Figures of the actions of one kind that arrived in one window.
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

  /// The windows of one root kind by time of arrival.
  std::vector<Window> Windows(std::size_t root) const;

  /// One line of key=value pairs.
  std::string ToLine(const KindReport& report) const;
  /// Goodput and outcomes of all kinds over time.
  std::string ToCsv() const;

 private:
  void CountRuns(const ActionRecord& record, KindReport& report) const;
  std::optional<Duration> Recovery(std::size_t root) const;

  const Scenario& scenario;
  const std::vector<ActionRecord>& records;
  const RunTable& runs;
};

/// Returns the value below which `share` of `values` lie; 0 if there are none.
Duration Percentile(std::vector<Duration> values, double share);

}  // namespace masticpin::load
