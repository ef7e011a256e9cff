#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/attempts/instance_retry_budget.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/execution/running_request_table.h"
#include "masticpin/routing/upstream_instance.h"
#include "sidecar/http_client.h"
#include "sidecar/http_dialect.h"
#include "sidecar/local_executor_statistics.h"
#include "sidecar/request_executor.h"

namespace masticpin {

class LocalExecution;

/// Runs requests at the own instance: decides which of them may start, and when, passes them on
/// over kept connections, and tells apart what ran and what did not.
class LocalExecutor : public RequestExecutor {
 public:
  /// All arguments must outlive the executor.
  LocalExecutor(boost::asio::io_context& loop,
                const Clock& clock,
                TimerService& timers,
                RandomSource& random,
                const HttpDialect& dialect,
                SocketAddress upstream_address,
                const InstanceRetryBudgetSettings& retries);
  ~LocalExecutor() override;

  void Execute(wire::ExecutionRequest request, ExecutionObserver& observer) override;
  void Cancel(std::uint64_t call) override;

  /// What the registry says about the own instance; nullptr if it does not list it. An instance
  /// that is draining or was removed gets no new requests.
  void SetInstance(const UpstreamInstance* instance);

  /// Number of instances of the own service, which share the retry budget; 0 if it is not known.
  void SetInstanceCount(std::size_t count) { this->instance_count = count; }

  /// Takes over another retry budget of the service.
  void SetRetries(const InstanceRetryBudgetSettings& new_retries);

  /// Refuses all further requests. Those that wait or run are finished.
  void Drain();

  LoadReport GetLoad() const;

  /// The requests that the own instance runs now.
  RunningRequestTable& RunningRequests() { return this->running; }

  bool IsBusy() const { return !this->executions.empty(); }

  const LocalExecutorStatistics& Statistics() const { return this->statistics; }
  std::uint64_t OpenedConnections() const { return this->client.OpenedConnections(); }

  /// Whether a response said that the instance ends its connections, which it does before it
  /// leaves; the flag is cleared by this call.
  bool ConsumeConnectionCloseSeen();

 private:
  friend class LocalExecution;

  /// A response named the instance that is really there. The registry lags behind a restart.
  void OnInstanceNameReported(const std::string& name);

  /// Whether the retry budget covers the request, if it is a repeat that needs a grant.
  bool TryGrantRetry(const wire::ExecutionRequest& request);
  /// Answers a request for a grant alone.
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
  std::unordered_map<std::uint64_t, Ref<LocalExecution>> executions;
  LocalExecutorStatistics statistics;

  /// Name of the own instance; empty until the registry or a response has told it.
  std::string instance_name;
  /// Whether a response told the name, and the registry has not listed it yet.
  bool name_from_response = false;
  std::uint64_t incarnation = 0;
  bool instance_leaving = false;
  bool draining = false;
  bool connection_close_seen = false;
};

}  // namespace masticpin
