#include "sidecar/local_execution.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "masticpin/base/received_duration.h"
#include "sidecar/local_executor.h"
#include "sidecar/peer_protocol.h"

namespace masticpin {
namespace {

/// Sent as the expected instance while its name is unknown: the instance refuses the request and
/// reports its name.
constexpr std::string_view kUnknownInstance = "unknown";

/// Time after the deadline that the instance has to respond itself before the node aborts the run.
constexpr Duration kResponseMargin = std::chrono::milliseconds(100);

/// Maximum idle time of a connection that is reused. Servers close idle connections after some
/// seconds, at times much sooner than they announce. If a request is sent while the server closes
/// the connection, its outcome is unknown: a non-idempotent request then fails, an idempotent one
/// can be retried.
constexpr Duration kMaxIdleForIdempotent = std::chrono::seconds(2);
constexpr Duration kMaxIdleForOthers = std::chrono::milliseconds(100);

/// Maximum wait for admission. A request that a caller has just sent is refused early, because no
/// work was done for it and another instance may have capacity. An inner call waits longer, to
/// preserve the work that was already done for its request.
constexpr Duration kMaxCallerWait = std::chrono::milliseconds(100);
constexpr Duration kMaxInnerWait = std::chrono::milliseconds(400);

}  // namespace

LocalExecution::LocalExecution(LocalExecutor& executor,
                               wire::ExecutionRequest new_request,
                               Ref<const MessageBody> body,
                               ExecutionObserver& observer)
    : executor(executor),
      request(std::move(new_request)),
      body(std::move(body)),
      observer(&observer),
      arrived_at(executor.clock.Now()) {
  this->priority.importance = static_cast<std::uint8_t>(
      std::min<std::uint32_t>(this->request.importance(), kMaxImportance));
  this->priority.rank = static_cast<std::uint16_t>(this->request.rank());
  this->deadline =
      this->arrived_at + ReceivedDuration<std::chrono::microseconds>(this->request.remaining_us());
  this->wait_bound = this->request.inner() ? kMaxInnerWait : kMaxCallerWait;
  this->running.priority = this->priority;
  this->running.is_retry = this->request.repeated();
}

LocalExecution::~LocalExecution() = default;

void LocalExecution::Start() {
  this->executor.admission.Offer(*this);
}

void LocalExecution::Cancel() {
  const Ref<LocalExecution> keep(this);
  this->observer = nullptr;
  spdlog::info(
      "event=execution_cancelled id={} idempotent={} running={} unacknowledged_bytes={} ran_ms={}",
      this->request.request_id(), this->request.idempotent(), this->is_running,
      this->is_running ? this->connection->UnacknowledgedBytes() : 0,
      this->is_running ? std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->executor.clock.Now() - this->started_at)
                             .count()
                       : 0);
  if (this->executor.admission.Withdraw(*this)) {
    this->ended = true;
    this->executor.OnEnded(*this);
    return;
  }
  // A non-idempotent run continues: aborting it would leave its outcome unknown. A request that is
  // not delivered yet has not started, or only just if its acknowledgement is on the way.
  if (this->is_running && (this->request.idempotent() || !this->connection->IsDelivered())) {
    this->connection->Close();
    this->EndRun(Completion::kCancelled);
    this->ended = true;
    this->executor.OnEnded(*this);
    return;
  }
  this->body.reset();
}

void LocalExecution::LogCut() const {
  spdlog::warn("event=execution_cut id={} caller_service={} idempotent={} running={} awaited={}",
               this->request.request_id(), this->request.caller_service(),
               this->request.idempotent(), this->is_running, this->observer != nullptr);
}

void LocalExecution::Abandon() {
  this->observer = nullptr;
  this->ended = true;
  if (this->is_running) {
    this->connection->Close();
    this->EndRun(Completion::kCancelled);
  } else {
    this->executor.admission.Withdraw(*this);
  }
}

void LocalExecution::OnAdmitted() {
  this->started_at = this->executor.clock.Now();
  this->is_running = true;
  ++this->executor.statistics.started;
  if (!this->request.repeated()) {
    if (!this->misdirected) {
      this->executor.retry_budget.OnRequest();
    }
  } else if (this->request.repeat_cost() == 0) {
    this->executor.retry_budget.OnUncheckedRetry();
  }
  this->executor.running.Add(this->request.request_id(), this->running);
  this->executor.timers.Schedule(*this, this->deadline + kResponseMargin);
  HttpCall call;
  call.message = this->BuildHead();
  call.body = this->body;
  call.head = this->request.method() == "HEAD";
  call.echo_name = this->executor.dialect.request_id;
  call.echo_value = this->request.request_id();
  call.max_idle = this->request.idempotent() ? kMaxIdleForIdempotent : kMaxIdleForOthers;
  this->connection = this->executor.client.Call(std::move(call), *this);
}

void LocalExecution::RefuseIfUnsent() {
  if (!this->is_running || !this->connection->IsConnecting()) {
    return;
  }
  const Ref<LocalExecution> keep(this);
  this->connection->Close();
  this->EndRun(Completion::kCancelled);
  this->ReplyError(ErrorKind::kDraining, false, Duration::zero());
}

void LocalExecution::OnRefused(ErrorKind kind, Duration retry_after) {
  this->ReplyError(kind, false, retry_after);
}

std::string LocalExecution::BuildHead() const {
  const HttpDialect& dialect = this->executor.dialect;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->deadline - this->executor.clock.Now());
  std::string message;
  message.reserve(this->request.header_lines().size() + 256);
  message.append(this->request.method()).append(" ").append(this->request.target());
  message.append(" HTTP/1.1\r\n").append(this->request.header_lines());
  message.append(dialect.remaining_ms).append(": ");
  message.append(std::to_string(std::max<std::int64_t>(left.count(), 1))).append("\r\n");
  message.append(dialect.request_id).append(": ").append(this->request.request_id());
  message.append("\r\n").append(dialect.caller_service).append(": ");
  message.append(this->request.caller_service()).append("\r\n");
  message.append(dialect.expected_instance).append(": ");
  message.append(this->executor.instance.Name().empty()
                     ? kUnknownInstance
                     : std::string_view(this->executor.instance.Name()));
  message.append("\r\n");
  AppendEndOfHead(this->request.method(), BytesOf(this->body).size(), message);
  return message;
}

void LocalExecution::OnSend() {
  if (!this->executor.instance.IsLeaving()) {
    return;
  }
  ++this->executor.statistics.sent_after_leave;
  const auto milliseconds = [now = this->executor.clock.Now()](TimePoint since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
  };
  spdlog::warn("event=request_sent_after_leave id={} instance={} leaving_ms={} admitted_ms={}",
               this->request.request_id(), this->executor.instance.Name(),
               milliseconds(this->executor.leaving_since), milliseconds(this->started_at));
}

void LocalExecution::OnResponse(HttpResponse response) {
  const Ref<LocalExecution> keep(this);
  const HttpDialect& dialect = this->executor.dialect;
  const bool success = response.status >= 200 && response.status < 300;
  const bool sealed = !response.fields.Find(dialect.server_seal).empty();
  this->executor.OnInstanceResponse(response.keep_alive);

  // The server did not run the request. Another process than the one in the registry has the
  // address, which may belong to another service.
  if (response.status == 421) {
    this->executor.OnInstanceNameReported(std::string(response.fields.Find(dialect.instance_name)));
    this->EndRun(Completion::kFailed);
    if (this->executor.RefusesAll()) {
      this->ReplyError(ErrorKind::kDraining, false, Duration::zero());
      return;
    }
    if (!this->misdirected && this->observer != nullptr) {
      this->misdirected = true;
      this->Start();
      return;
    }
    this->ReplyError(ErrorKind::kWrongIncarnation, false, Duration::zero());
    return;
  }
  if (!response.fields.Find(dialect.not_executed).empty()) {
    ++this->executor.statistics.shed;
    // The node never sends more requests than the instance has slots for, so this refusal does not
    // indicate overload. Lowering the limit because of it would waste capacity.
    this->EndRun(Completion::kFailed);
    this->ReplyError(ErrorKind::kUpstreamShed, true, Duration::zero());
    return;
  }
  if (!sealed) {
    // Nothing proves that the server produced this response for this request.
    spdlog::warn("event=response_without_seal id={} status={}", this->request.request_id(),
                 response.status);
    ++this->executor.statistics.broken;
    this->EndRun(Completion::kFailed);
    this->ReplyError(ErrorKind::kUpstreamBroken, true, Duration::zero());
    return;
  }

  if (success) {
    this->RecordWorkTime();
  }
  this->EndRun(success ? Completion::kSuccess : Completion::kFailed);
  wire::ExecutionReply reply;
  reply.set_status(static_cast<std::uint32_t>(response.status));
  reply.set_reason(response.reason);
  response.fields.AppendEndToEndLines({dialect.request_id}, *reply.mutable_header_lines());
  reply.set_body(std::move(response.body));
  reply.set_reached_instance(true);
  this->Finish(reply);
}

void LocalExecution::OnCallFailed(ErrorKind kind, std::string_view reason) {
  const Ref<LocalExecution> keep(this);
  const bool reached = kind != ErrorKind::kUpstreamUnreachable;
  spdlog::warn("event=upstream_call_failed id={} instance={} error={} reason=\"{}\" ran_us={}",
               this->request.request_id(), this->executor.instance.Name(), GetErrorInfo(kind).name,
               reason,
               std::chrono::duration_cast<std::chrono::microseconds>(this->executor.clock.Now() -
                                                                     this->started_at)
                   .count());
  if (reached) {
    ++this->executor.statistics.broken;
  }
  this->EndRun(reached ? Completion::kFailed : Completion::kUnreachable);
  this->ReplyError(kind, reached, Duration::zero());
}

void LocalExecution::OnTimer(TimePoint) {
  const Ref<LocalExecution> keep(this);
  this->connection->Close();
  ++this->executor.statistics.broken;
  this->EndRun(Completion::kFailed);
  this->ReplyError(ErrorKind::kDeadlineExceeded, true, Duration::zero());
}

void LocalExecution::RecordWorkTime() {
  if (this->executor.learn_speed && this->request.route_key() != 0) {
    const TimePoint now = this->executor.clock.Now();
    this->executor.work_times.Record(
        this->request.route_key(),
        now - this->started_at - this->running.inner_call_time.Total(now));
  }
}

void LocalExecution::EndRun(Completion completion) {
  this->executor.timers.Cancel(*this);
  this->is_running = false;
  this->connection.reset();
  this->executor.running.Remove(this->request.request_id(), this->running);
  this->executor.run_times.Add(this->executor.clock.Now() - this->arrived_at);
  this->executor.admission.Complete(*this, completion,
                                    this->executor.clock.Now() - this->started_at);
}

void LocalExecution::ReplyError(ErrorKind kind, bool reached_instance, Duration retry_after) {
  wire::ExecutionReply reply;
  reply.set_error(static_cast<std::uint32_t>(kind));
  reply.set_reached_instance(reached_instance);
  reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count()));
  this->Finish(reply);
}

void LocalExecution::Finish(wire::ExecutionReply& reply) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  const Ref<LocalExecution> keep(this);
  if (!reply.reached_instance()) {
    ++this->executor.statistics.refused;
  }
  reply.set_call(this->request.call());
  reply.set_chain_refused(this->running.chain_refused);
  reply.set_chain_failed(this->running.chain_failed);
  reply.set_inner_calls(this->running.inner_calls);
  EncodeLoadReport(this->executor.GetLoad(), *reply.mutable_load());
  if (this->executor.learn_speed && this->request.route_key() != 0) {
    EncodeWorkTime(this->executor.work_times.Report(this->request.route_key()),
                   *reply.mutable_load());
  }
  ExecutionObserver* const finished_observer = this->observer;
  this->observer = nullptr;
  this->executor.OnEnded(*this);
  if (finished_observer != nullptr) {
    finished_observer->OnExecutionReply(std::move(reply));
  }
}

}  // namespace masticpin
