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

/// Where the load goes.
struct LoadTargets {
  /// HTTP addresses of the entry nodes; each try uses a random one.
  std::vector<std::string> entry_nodes;
  /// Upstream addresses by service, for the speed factors of the phases.
  std::multimap<std::string, std::string> upstreams;
  /// Whether callers make up their own keys instead of asking the nodes for them.
  bool generate_keys = false;
};

/// Plays the callers of a scenario: starts each action at its time, whatever became of the earlier
/// ones, and sends the tries from a bounded number of threads.
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
  /// Starts one arrival if a thread is free.
  void Start(const Arrival& arrival, std::size_t number);
  void Dispatch(RunningAction& running_action);
  /// One try, on a thread of the pool.
  void RunTry(RunningAction& running_action);
  /// Waits until `time`, dispatching the retries that are due before.
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
  // Actions that have begun and not ended.
  std::size_t unfinished = 0;
  // Tries in progress, at most as many as there are threads.
  std::size_t in_progress = 0;

  // Declared last: its threads end before anything that they use.
  ConnectionThreadPool pool;
};

}  // namespace masticpin::load
