#include "load/report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace masticpin::load {

namespace {

// A window counts as recovered if its complete share and latency are within 10 % of those before
// the surge.
constexpr double kRecoveryTolerance = 0.1;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// An arrival that found no free thread counts as not complete, because all threads are busy only if
// earlier actions take too long.
double CompleteShare(const Window& window) {
  return static_cast<double>(window.complete) /
         static_cast<double>(window.offered + window.not_sent);
}

}  // namespace

Duration Percentile(std::vector<Duration> values, double share) {
  if (values.empty()) {
    return {};
  }
  const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

KindReport Report::Evaluate(std::size_t root) const {
  KindReport report;
  report.kind = this->scenario.roots[root].name;
  report.attempts_bound = this->scenario.roots[root].attempts_bound;
  report.goodput.assign(this->scenario.phases.size(), 0);
  std::vector<Duration> latencies;
  for (const ActionRecord& record : this->records) {
    if (record.root != root) {
      continue;
    }
    if (!record.sent) {
      ++report.not_sent;
      continue;
    }
    ++report.offered;
    report.wrong_response += record.wrong_response ? 1 : 0;
    this->CountRuns(record, report);
    switch (record.outcome) {
      case Outcome::kNotRun:
        ++report.refused_not_run;
        continue;
      case Outcome::kUnknown:
        ++report.outcome_unknown;
        continue;
      case Outcome::kComplete:
        break;
    }
    ++report.complete;
    latencies.push_back(record.ended - record.arrived);
    for (std::size_t phase = 0; phase < this->scenario.phases.size(); ++phase) {
      if (record.ended >= this->scenario.PhaseBegin(phase) &&
          record.ended < this->scenario.PhaseBegin(phase + 1)) {
        report.goodput[phase] += 1.0 / Seconds(this->scenario.phases[phase].length);
      }
    }
  }
  report.p50 = Percentile(latencies, 0.50);
  report.p99 = Percentile(latencies, 0.99);
  report.recovery = this->Recovery(root);
  return report;
}

void Report::CountRuns(const ActionRecord& record, KindReport& report) const {
  RunTable::ByKind sum;
  for (const Action::KeyUse& use : record.keys) {
    RunTable::ByKind counts_by_kind;
    this->runs.AddTo(use.key, counts_by_kind);
    this->runs.AddTo(use.key, sum);
    // An idempotent inner call that ran before the refusal has no effect and violates no guarantee.
    const bool ran =
        std::any_of(counts_by_kind.begin(), counts_by_kind.end(), [&report](const auto& entry) {
          return entry.second.runs > 0 && (entry.second.commits || entry.first == report.kind);
        });
    report.not_run_but_run += ran && use.last == Outcome::kNotRun ? 1 : 0;
  }

  std::uint64_t attempts = 0;
  bool twice = false;
  for (const auto& [kind, counts] : sum) {
    attempts += counts.arrivals;
    twice = twice || (counts.commits && counts.runs > 1);
  }
  report.run_twice += twice ? 1 : 0;
  report.max_attempts = std::max(report.max_attempts, attempts);
}

std::vector<Window> Report::Windows(std::size_t root) const {
  const auto count = static_cast<std::size_t>(this->scenario.Length() / this->scenario.window);
  std::vector<Window> windows(count);
  std::vector<std::vector<Duration>> latencies(count);
  for (const ActionRecord& record : this->records) {
    const auto index = static_cast<std::size_t>(record.arrived / this->scenario.window);
    if (record.root != root || index >= count) {
      continue;
    }
    if (!record.sent) {
      ++windows[index].not_sent;
      continue;
    }
    ++windows[index].offered;
    switch (record.outcome) {
      case Outcome::kComplete:
        ++windows[index].complete;
        latencies[index].push_back(record.ended - record.arrived);
        break;
      case Outcome::kNotRun:
        ++windows[index].refused_not_run;
        break;
      case Outcome::kUnknown:
        ++windows[index].outcome_unknown;
        break;
    }
  }
  for (std::size_t i = 0; i < count; ++i) {
    windows[i].p99 = Percentile(std::move(latencies[i]), 0.99);
  }
  return windows;
}

// Compares the complete share of the arrivals of a window and not its goodput, because the number
// of Poisson arrivals in 250 ms alone varies by more than 10 %. For the same reason the reference
// for the latency is the maximum p99 of the windows in the phase before the surge.
std::optional<Duration> Report::Recovery(std::size_t root) const {
  const std::vector<Window> windows = this->Windows(root);
  const Duration window = this->scenario.window;
  const auto before_begin =
      static_cast<std::size_t>(this->scenario.PhaseBegin(this->scenario.surge - 1) / window);
  const auto surge_begin =
      static_cast<std::size_t>(this->scenario.PhaseBegin(this->scenario.surge) / window);
  const auto surge_end =
      static_cast<std::size_t>(this->scenario.PhaseBegin(this->scenario.surge + 1) / window);

  Window before;
  for (std::size_t i = before_begin; i < std::min(surge_begin, windows.size()); ++i) {
    before.offered += windows[i].offered;
    before.not_sent += windows[i].not_sent;
    before.complete += windows[i].complete;
    before.p99 = std::max(before.p99, windows[i].p99);
  }
  if (before.complete == 0) {
    return std::nullopt;
  }

  const double min_share = CompleteShare(before) * (1 - kRecoveryTolerance);
  const double max_p99 = Milliseconds(before.p99) * (1 + kRecoveryTolerance);
  std::size_t recovered = windows.size();
  while (recovered > surge_end) {
    const Window& last = windows[recovered - 1];
    if (last.offered + last.not_sent > 0 &&
        (CompleteShare(last) < min_share || Milliseconds(last.p99) > max_p99)) {
      break;
    }
    --recovered;
  }
  if (recovered >= windows.size()) {
    return std::nullopt;
  }
  return (recovered - surge_end) * window;
}

std::string Report::ToLine(const KindReport& report) const {
  std::string line = fmt::format(
      "kind={} offered={} complete={} refused_not_run={} outcome_unknown={} not_sent={} "
      "run_twice={} not_run_but_run={} wrong_response={} max_attempts={} attempts_bound={}",
      report.kind, report.offered, report.complete, report.refused_not_run, report.outcome_unknown,
      report.not_sent, report.run_twice, report.not_run_but_run, report.wrong_response,
      report.max_attempts, report.attempts_bound);
  for (std::size_t phase = 0; phase < this->scenario.phases.size(); ++phase) {
    fmt::format_to(std::back_inserter(line), " goodput_{}={:.1f}",
                   this->scenario.phases[phase].name, report.goodput[phase]);
  }
  fmt::format_to(std::back_inserter(line), " p50_ms={:.1f} p99_ms={:.1f} recovery_ms={}",
                 Milliseconds(report.p50), Milliseconds(report.p99),
                 report.recovery ? fmt::format("{:.0f}", Milliseconds(*report.recovery)) : "none");
  return line;
}

std::string Report::ToCsv() const {
  std::string text =
      "time_ms,kind,offered,complete,refused_not_run,outcome_unknown,not_sent,p99_ms\n";
  for (std::size_t root = 0; root < this->scenario.roots.size(); ++root) {
    const std::vector<Window> windows = this->Windows(root);
    for (std::size_t i = 0; i < windows.size(); ++i) {
      const Window& window = windows[i];
      fmt::format_to(std::back_inserter(text), "{:.0f},{},{},{},{},{},{},{:.1f}\n",
                     Milliseconds(this->scenario.window * i), this->scenario.roots[root].name,
                     window.offered, window.complete, window.refused_not_run,
                     window.outcome_unknown, window.not_sent, Milliseconds(window.p99));
    }
  }
  return text;
}

}  // namespace masticpin::load
