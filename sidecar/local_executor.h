#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/admission/recent_maximum.h"
#include "masticpin/admission/stop_schedule.h"
#include "masticpin/attempts/instance_retry_budget.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/execution/running_request_table.h"
#include "masticpin/membership/pause_detector.h"
#include "masticpin/routing/departure_detector.h"
#include "masticpin/routing/local_instance_state.h"
#include "masticpin/routing/work_time_estimator.h"
#include "sidecar/http_client.h"
#include "sidecar/http_dialect.h"
#include "sidecar/local_executor_observer.h"
#include "sidecar/local_executor_statistics.h"
#include "sidecar/request_executor.h"

namespace masticpin {

class LocalExecution;

/// Runs requests at the local instance: decides which requests start and when, forwards them over
/// persistent connections, and distinguishes requests that ran from those that did not.
class LocalExecutor : public RequestExecutor {
 public:
  /// All arguments must outlive the executor. `learn_speed` is whether the work times of requests
  /// are measured and reported to the nodes of their callers.
  LocalExecutor(boost::asio::io_context& loop,
                const Clock& clock,
                TimerService& timers,
                RandomSource& random,
                const HttpDialect& dialect,
                SocketAddress upstream_address,
                const HttpClientSettings& responses,
                const InstanceRetryBudgetSettings& retries,
                const StopSchedule& stop,
                LocalExecutorObserver& observer,
                bool learn_speed = false);
  ~LocalExecutor() override;

  /// Starts the detection of pauses of the process.
  void Start() { this->pause_detector.Start(); }

  void Execute(wire::ExecutionRequest request,
               Ref<const MessageBody> body,
               ExecutionObserver& observer) override;
  void Cancel(std::uint64_t call) override;

  /// Whether the request has left the queue.
  bool IsRunning(std::uint64_t call) const;

  /// Sets the registry's entry of the local instance; nullptr if it is not listed. An instance that
  /// is draining or was removed gets no new requests. `source` names the update in the log.
  void SetInstance(const UpstreamInstance* entry, std::string_view source);

  /// Sets the number of instances of the local service, which share the retry budget; 0 if unknown.
  void SetInstanceCount(std::size_t count) { this->instance_count = count; }

  /// Applies new settings of the service's retry budget.
  void SetRetries(const InstanceRetryBudgetSettings& new_retries);

  /// Sets the maximum size of the body of one response of the instance, in bytes.
  void SetMaxResponseBodyBytes(std::size_t bytes) { this->client.SetMaxBodyBytes(bytes); }

  /// Refuses all further requests. Those that wait or run are completed.
  void Drain();

  LoadReport GetLoad() const;

  /// The requests that the local instance is running.
  RunningRequestTable& RunningRequests() { return this->running; }

  bool IsBusy() const { return !this->executions.empty(); }

  /// Logs the requests that wait or run and are cut off by the exit of the process.
  void LogUnfinished() const;

  const LocalExecutorStatistics& Statistics() const { return this->statistics; }
  std::uint64_t OpenedConnections() const { return this->client.OpenedConnections(); }

  /// Number of routes whose work time at the instance was measured.
  std::size_t MeasuredRoutes() const { return this->work_times.CountRoutes(); }

  /// Records a request that was under way from its node for a long time.
  void CountDelayed() { ++this->statistics.delayed; }

  /// Called when the entry of the local instance was read and applied. Ends the wait of requests
  /// for it.
  void OnInstanceStateRead();

 private:
  friend class LocalExecution;

  /// Whether the instance gets no new requests.
  bool RefusesAll() const { return this->instance.IsLeaving() || this->draining; }

  /// Whether the request, which has just arrived, is refused because the instance leaves or the
  /// process will exit before the request ends.
  bool RefusesForStop(const wire::ExecutionRequest& request);

  /// Logs that the instance begins to leave or is in service again, and refuses what was not sent
  /// to a leaving one.
  void OnInstanceChanged(bool was_leaving, RegistryRevision revision, std::string_view source);

  /// Called when the instance is another process than before, which has `name`.
  void OnNewProcess(const std::string& name);

  /// Records a response of the instance. Asks for its entry if it seems to leave.
  void OnInstanceResponse(bool keeps_connection);

  /// Holds new requests after a pause of the process, in which the instance may have announced its
  /// departure, until its entry was read.
  void OnPause(Duration length);

  /// Refuses the requests that were accepted but not sent to the instance. They were not run, so
  /// the nodes of their callers send them to other instances.
  void RefuseUnsent();

  /// Called when a response reported the name of the running instance. A process that the registry
  /// has not listed for the node's service gets no requests.
  void OnInstanceNameReported(const std::string& name);

  /// Returns whether the request may run. Takes a retry that needs a grant from the retry budget.
  bool TryGrantRetry(const wire::ExecutionRequest& request);
  /// Replies to a request that asks only for a grant.
  static void ReplyToGrantRequest(const wire::ExecutionRequest& request,
                                  bool granted,
                                  ExecutionObserver& observer);

  void OnEnded(LocalExecution& execution);

  const Clock& clock;
  TimerService& timers;
  const HttpDialect& dialect;
  HttpClient client;
  AdmissionController admission;
  InstanceRetryBudgetSettings retries;
  InstanceRetryBudget retry_budget;
  std::size_t instance_count = 0;
  RunningRequestTable running;
  /// Whether work times are measured and reported.
  const bool learn_speed;
  WorkTimeEstimator work_times;
  std::unordered_map<std::uint64_t, Ref<LocalExecution>> executions;
  LocalExecutorStatistics statistics;

  LocalInstanceState instance;
  DepartureDetector departure;
  const StopSchedule& stop;
  /// Times from the arrival of a request until its end.
  RecentMaximum run_times;
  LocalExecutorObserver& observer;
  PauseDetector pause_detector;
  TimePoint leaving_since{};
  bool draining = false;
};

}  // namespace masticpin
