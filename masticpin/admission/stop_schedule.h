#pragma once

#include <optional>

#include "masticpin/base/time.h"

namespace masticpin {

struct StopScheduleSettings {
  /// Time from the request to stop until the process is killed.
  Duration stop_time = std::chrono::seconds(6);
  /// The process exits this long before the end of its stop time, to avoid being killed.
  Duration exit_margin = std::chrono::milliseconds(300);
  /// Minimum duration of a shutdown, so that the platform notices that the node is not ready (it
  /// checks once per second and acts on the second result) and callers move to other machines.
  Duration min_duration = std::chrono::milliseconds(2200);
  /// A stopping node forwards requests to its instance for this long at most. With a longer time,
  /// the rest of the stop time might not be enough for them to complete; with a shorter one, the
  /// instance's capacity would be unavailable for longer than necessary.
  Duration execution_time = std::chrono::milliseconds(1800);
  /// A request is expected to run for at most this multiple of the longest recent run: the instance
  /// may become slower while it gets the requests of the nodes that stop.
  int run_time_factor = 2;
  /// Time before the exit in which answers are delivered. Accepted requests have their deadline
  /// before it.
  Duration answer_time = std::chrono::milliseconds(200);
  /// An accepted request may start another attempt, or an inner call, until this long before the
  /// exit. Most complete in this time; a later one would probably be cut.
  Duration attempt_time = std::chrono::milliseconds(1000);
};

/// Decides what a stopping node still starts, so that the exit of the process cuts off no request.
///
/// The load is callers that go on sending on open connections during the shutdown, because their
/// zone has no other node. In the first half of the time until the exit all their requests are
/// accepted, and the second half is left for these to complete. After that, only requests whose
/// deadline passes before the exit are accepted; the others are refused while it is certain that
/// they did not run.
///
/// The local instance also runs requests of other nodes, whose callers may wait for longer than
/// this node lives. It gets only those that will have ended by then, judged by their deadlines or
/// by the run times of the instance; other instances can run the rest. Not thread-safe.
class StopSchedule {
 public:
  using Settings = StopScheduleSettings;

  explicit StopSchedule(const Settings& settings = {}) : settings(settings) {}

  /// Starts the shutdown; must be called once.
  void Begin(TimePoint now);

  bool IsStopping() const { return this->stopping; }

  /// Start of the shutdown, if there is one.
  std::optional<TimePoint> BeganAt() const {
    return this->stopping ? std::optional(this->begin) : std::nullopt;
  }

  /// Whether a request that has just arrived is accepted; `deadline` is the end of its time limit.
  bool AcceptsRequest(TimePoint now, TimePoint deadline) const;

  /// Whether an accepted request may start another attempt or an inner call.
  bool AllowsAttempt(TimePoint now, TimePoint deadline) const;

  /// Whether the local instance may still run a request that has just arrived. `longest_run` is
  /// that of its recent runs, if there were any.
  bool AcceptsExecution(TimePoint now,
                        TimePoint deadline,
                        std::optional<Duration> longest_run) const;

  /// Whether the local instance gets no more requests.
  bool IsExecutionOver(TimePoint now) const;

  /// Whether callers had time to notice that the node is not ready.
  bool IsMinDurationOver(TimePoint now) const;

  /// Whether responses that are ready must be sent now, to be delivered before the exit.
  bool IsDeliveryDue(TimePoint now) const;

  /// Whether the process exits now, even if requests are in progress.
  bool MustExit(TimePoint now) const;

 private:
  TimePoint ExitAt() const;
  /// Whether a request that ends at this time, which may be its deadline, has its answer before the
  /// exit.
  bool EndsBeforeExit(TimePoint end) const;

  const Settings settings;
  bool stopping = false;
  TimePoint begin{};
};

}  // namespace masticpin
