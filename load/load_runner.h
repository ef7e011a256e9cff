#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <vector>

#include "load/arrival_plan.h"
#include "load/key_pool.h"
#include "load/report.h"
#include "load/scenario.h"
#include "masticpin/base/random_source.h"
#include "net/connection_thread_pool.h"
#include "standins/client_pool.h"

namespace masticpin::load {

/// Nodes and upstreams that a run uses.
struct LoadTargets {
  /// HTTP addresses of the entry nodes; each try uses a random one.
  std::vector<std::string> entry_nodes;
  /// Upstream addresses by service, for the speed factors of the phases.
  std::multimap<std::string, std::string> upstreams;
  /// Whether callers generate keys instead of requesting them from the nodes.
  bool generate_keys = false;
};

/// Simulates the callers of a scenario with an open-loop load: starts each action at its planned
/// time, regardless of the outcome of earlier ones, and sends the tries from a bounded number of
/// threads.
class LoadRunner {
 public:
  /// `random` must be thread-safe. All references must outlive the object.
  LoadRunner(const Scenario& scenario, const LoadTargets& targets, RandomSource& random);

  /// Runs the whole scenario and returns one record for each arrival.
  std::vector<ActionRecord> Run();

 private:
  struct RunningAction;
  struct PendingRetry {
    Duration at{};
    RunningAction* running_action = nullptr;

    bool operator>(const PendingRetry& other) const { return this->at > other.at; }
  };

  void StartPhase(std::size_t phase);
  void SetSpeed(const std::string& service, double factor);
  /// Starts the action of an arrival, or records it as not sent if no thread is free.
  void Start(const Arrival& arrival, std::size_t number);
  void Dispatch(RunningAction& running_action);
  /// Runs one try on a thread of the pool.
  void RunTry(RunningAction& running_action);
  /// Waits until `time` and dispatches the retries that become due meanwhile.
  void RunRetriesUntil(Duration time);
  Duration RetryDelay();
  Duration Elapsed() const;

  const Scenario& scenario;
  const LoadTargets& targets;
  RandomSource& random;
  standins::ClientPool clients;
  KeyPool keys;
  TimePoint started{};
  std::vector<ActionRecord> records;

  std::mutex mutex;
  std::condition_variable state_changed;
  std::priority_queue<PendingRetry, std::vector<PendingRetry>, std::greater<>> retries;
  // Actions that have started and not ended.
  std::size_t unfinished = 0;
  // Tries in progress, at most one for each thread.
  std::size_t in_progress = 0;

  // Declared last, so that its threads end before the members that they use are destroyed.
  ConnectionThreadPool pool;
};

}  // namespace masticpin::load
