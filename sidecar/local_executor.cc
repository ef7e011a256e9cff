#include "sidecar/local_executor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "masticpin/base/received_duration.h"
#include "sidecar/local_execution.h"

namespace masticpin {
namespace {

/// Maximum number of concurrent requests at the instance, as a share of its slots. Servers may slow
/// down when nearly all their slots are in use; one more request then costs the others more
/// throughput than it adds.
constexpr double kMaxSlotUtilization = 0.94;

std::uint32_t CeilingFor(std::uint32_t slots) {
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(slots * kMaxSlotUtilization), 1);
}

/// Number of slots assumed until the registry has reported that of the instance.
constexpr std::uint32_t kDefaultSlots = 16;

/// Requests of at least this importance, which are those of routes with urgency rank 0 or 1 and
/// their inner calls, may use the instance's whole share of the retry budget.
constexpr std::uint32_t kMinImportanceForFullRetryBudget = 6;

/// Maximum time for which requests wait for the entry of the instance after a pause. The registry
/// usually responds within 10 ms; if it does not, requests must not expire in the queue.
constexpr Duration kMaxHold = std::chrono::milliseconds(50);

/// Maximum number of requests that wait at one node; each holds its message in memory.
constexpr std::size_t kQueueCapacity = 2000;

/// Maximum number of log lines about requests that the exit of the process cuts off.
constexpr int kMaxCutLines = 100;

AdmissionSettings MakeAdmissionSettings() {
  AdmissionSettings settings;
  settings.ceiling = CeilingFor(kDefaultSlots);
  settings.queue_capacity = kQueueCapacity;
  // The number of slots is published and all requests to the instance pass through this node, so
  // the limit stays at the ceiling. Requests that the instance sheds do not lower it, see
  // LocalExecution::OnResponse(). Latency does not indicate the instance's load here, because it
  // includes the inner calls to other services.
  settings.limiter.initial_share = 1;
  settings.limiter.use_latency = false;
  return settings;
}

/// A pause after which the state of the instance is not relied on must be well below the notice
/// time of a departure. The period is that of the node's own timer, so that the process wakes up
/// once for both.
PauseDetectorSettings MakePauseSettings() {
  PauseDetectorSettings settings;
  settings.period = std::chrono::milliseconds(250);
  settings.min_pause = std::chrono::milliseconds(750);
  return settings;
}

}  // namespace

LocalExecutor::LocalExecutor(boost::asio::io_context& loop,
                             const Clock& clock,
                             TimerService& timers,
                             RandomSource& random,
                             const HttpDialect& dialect,
                             SocketAddress upstream_address,
                             const HttpClientSettings& responses,
                             const InstanceRetryBudgetSettings& retries,
                             const StopSchedule& stop,
                             LocalExecutorObserver& observer,
                             bool learn_speed)
    : clock(clock),
      timers(timers),
      dialect(dialect),
      client(loop, clock, timers, std::move(upstream_address), responses),
      admission(MakeAdmissionSettings(), clock, timers, random),
      retries(retries),
      retry_budget(clock, retries),
      learn_speed(learn_speed),
      work_times(clock),
      instance(clock),
      stop(stop),
      run_times(clock),
      observer(observer),
      pause_detector(
          clock,
          timers,
          [this](Duration length) { this->OnPause(length); },
          MakePauseSettings()) {}

LocalExecutor::~LocalExecutor() {
  while (!this->executions.empty()) {
    const Ref<LocalExecution> execution = this->executions.begin()->second;
    execution->Abandon();
    this->executions.erase(execution->Call());
  }
}

void LocalExecutor::Execute(wire::ExecutionRequest request,
                            Ref<const MessageBody> body,
                            ExecutionObserver& observer) {
  if (request.grant_only()) {
    ReplyToGrantRequest(request, this->TryGrantRetry(request), observer);
    return;
  }
  ++this->statistics.offered;
  // Requests that queued up during a pause may be handled before any timer.
  this->pause_detector.Check();
  const bool refused = this->RefusesForStop(request);
  const bool granted = refused || request.granted_elsewhere() || this->TryGrantRetry(request);
  const Ref<LocalExecution> execution(
      new LocalExecution(*this, std::move(request), std::move(body), observer));
  this->executions.emplace(execution->Call(), execution);
  if (refused) {
    execution->OnRefused(ErrorKind::kDraining, Duration::zero());
  } else if (!granted) {
    execution->OnRefused(ErrorKind::kAttemptsExhausted, Duration::zero());
  } else {
    execution->Start();
  }
}

bool LocalExecutor::RefusesForStop(const wire::ExecutionRequest& request) {
  const TimePoint now = this->clock.Now();
  if (this->RefusesAll()) {
    return true;
  }
  // Without another instance, the request that made an inner call would certainly fail.
  if (request.inner() && this->instance_count <= 1) {
    return false;
  }
  return !this->stop.AcceptsExecution(
      now, now + ReceivedDuration<std::chrono::microseconds>(request.remaining_us()),
      this->run_times.Get());
}

void LocalExecutor::Cancel(std::uint64_t call) {
  const auto found = this->executions.find(call);
  if (found != this->executions.end()) {
    const Ref<LocalExecution> execution = found->second;
    execution->Cancel();
  }
}

bool LocalExecutor::IsRunning(std::uint64_t call) const {
  const auto found = this->executions.find(call);
  return found != this->executions.end() && found->second->IsRunning();
}

void LocalExecutor::SetInstance(const UpstreamInstance* entry, std::string_view source) {
  const bool was_leaving = this->instance.IsLeaving();
  const LocalEntryEffect effect = this->instance.OnEntry(entry);
  if (effect == LocalEntryEffect::kIgnored) {
    return;
  }
  this->OnInstanceChanged(was_leaving, entry == nullptr ? RegistryRevision{} : entry->revision,
                          source);
  if (entry == nullptr) {
    return;
  }
  if (effect == LocalEntryEffect::kNewProcess) {
    spdlog::info("event=own_instance_found instance={} incarnation={} slots={}", entry->name,
                 entry->incarnation, entry->slots);
    this->OnNewProcess(entry->name);
  }
  this->admission.SetCeiling(CeilingFor(entry->slots));
}

void LocalExecutor::OnInstanceChanged(bool was_leaving,
                                      RegistryRevision revision,
                                      std::string_view source) {
  const bool leaving = this->instance.IsLeaving();
  if (leaving == was_leaving) {
    return;
  }
  const LoadReport load = this->admission.GetLoad();
  spdlog::info("event=own_instance_{} instance={} revision={} source={} in_flight={} queued={}",
               leaving ? "leaving" : "in_service", this->instance.Name(), revision.ToString(),
               source, load.in_flight, load.queued);
  if (leaving) {
    this->leaving_since = this->clock.Now();
    this->RefuseUnsent();
  }
}

void LocalExecutor::RefuseUnsent() {
  this->admission.RefuseWaiting();
  // An ended execution removes itself, and its observer may start another one.
  std::vector<Ref<LocalExecution>> admitted;
  for (const auto& [call, execution] : this->executions) {
    admitted.push_back(execution);
  }
  for (const Ref<LocalExecution>& execution : admitted) {
    execution->RefuseIfUnsent();
  }
}

void LocalExecutor::OnInstanceNameReported(const std::string& name) {
  const bool was_leaving = this->instance.IsLeaving();
  if (!this->instance.OnNameReported(name)) {
    return;
  }
  spdlog::info("event=own_instance_replaced previous={} reported={}", this->instance.Name(), name);
  this->OnInstanceChanged(was_leaving, {}, "response");
  this->OnNewProcess(name);
}

void LocalExecutor::OnNewProcess(const std::string& name) {
  // Connections to the previous process cannot be reused.
  this->client.CloseIdle();
  this->work_times.Clear();
  this->observer.OnInstanceReplaced(name);
}

void LocalExecutor::SetRetries(const InstanceRetryBudgetSettings& new_retries) {
  if (this->retries.ratio != new_retries.ratio || this->retries.slack != new_retries.slack ||
      this->retries.window != new_retries.window) {
    this->retries = new_retries;
    this->retry_budget = InstanceRetryBudget(this->clock, new_retries);
  }
}

bool LocalExecutor::TryGrantRetry(const wire::ExecutionRequest& request) {
  if (request.repeat_cost() == 0) {
    return true;
  }
  constexpr double kRankCount = 65536;
  const bool granted = this->retry_budget.TryRetry(
      request.repeat_cost(), this->instance_count,
      request.importance() >= kMinImportanceForFullRetryBudget,
      request.inner() ? std::optional<double>(request.rank() / kRankCount) : std::nullopt);
  ++(granted ? this->statistics.retries_granted : this->statistics.retries_denied);
  return granted;
}

void LocalExecutor::ReplyToGrantRequest(const wire::ExecutionRequest& request,
                                        bool granted,
                                        ExecutionObserver& observer) {
  wire::ExecutionReply reply;
  reply.set_call(request.call());
  if (!granted) {
    reply.set_error(static_cast<std::uint32_t>(ErrorKind::kAttemptsExhausted));
  }
  observer.OnExecutionReply(std::move(reply));
}

void LocalExecutor::Drain() {
  this->draining = true;
}

LoadReport LocalExecutor::GetLoad() const {
  LoadReport load = this->admission.GetLoad();
  if (this->RefusesAll()) {
    load.limit = 0;
  }
  load.retries_left = this->retry_budget.RetriesLeft(this->instance_count);
  return load;
}

void LocalExecutor::OnInstanceStateRead() {
  this->admission.HoldUntil(this->clock.Now());
}

void LocalExecutor::OnInstanceResponse(bool keeps_connection) {
  this->departure.OnResponse(keeps_connection, this->clock.Now());
  if (!this->instance.IsLeaving() && this->departure.TryStartCheck(this->clock.Now())) {
    spdlog::info("event=own_instance_checked instance={}", this->instance.Name());
    this->observer.OnInstanceStateOutdated();
  }
}

void LocalExecutor::OnPause(Duration length) {
  spdlog::warn("event=process_paused ms={}",
               std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
  this->admission.HoldUntil(this->clock.Now() + kMaxHold);
  this->observer.OnInstanceStateOutdated();
}

void LocalExecutor::LogUnfinished() const {
  int lines = 0;
  for (const auto& [call, execution] : this->executions) {
    if (++lines > kMaxCutLines) {
      spdlog::warn("event=more_executions_cut executions={}", this->executions.size());
      return;
    }
    execution->LogCut();
  }
}

void LocalExecutor::OnEnded(LocalExecution& execution) {
  this->executions.erase(execution.Call());
}

}  // namespace masticpin
