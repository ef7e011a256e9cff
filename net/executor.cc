#include "net/executor.h"

#include <algorithm>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/wire/http_headers.h"
#include "net/remaining_time.h"

namespace masticpin {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// An upstream that sheds a request within this time of the deadline is assumed to have run out of
/// time. It receives the deadline in whole milliseconds, rounded down, and may keep a margin.
constexpr Duration kDeadlineSlack = milliseconds(20);

void AddHeader(wire::HttpRequest& request, const char* name, const std::string& value) {
  wire::Header* header = request.add_headers();
  header->set_name(name);
  header->set_value(value);
}

wire::ExecuteReply ErrorReply(const wire::ExecutionKey& key, ErrorKind kind, Duration retry_after) {
  wire::ExecuteReply reply;
  *reply.mutable_key() = key;
  reply.set_error(static_cast<std::uint32_t>(kind));
  reply.set_retry_after_ms(
      static_cast<std::uint64_t>(duration_cast<milliseconds>(retry_after).count()));
  return reply;
}

Completion CompletionOf(std::uint32_t error) {
  switch (static_cast<ErrorKind>(error)) {
    case ErrorKind::kUpstreamShed:
      return Completion::kShed;
    case ErrorKind::kUpstreamUnreachable:
      return Completion::kUnreachable;
    case ErrorKind::kCancelled:
    case ErrorKind::kCancelledBeforeStart:
    case ErrorKind::kExpiredBeforeStart:
      return Completion::kCancelled;
    default:
      return error == 0 ? Completion::kSuccess : Completion::kFailed;
  }
}

}  // namespace

Executor::Executor(NodeCore& core,
                   const Clock& clock,
                   ExecutionTable& table,
                   AdmissionController& admission,
                   InnerCallTable& inner_calls,
                   UpstreamClient& upstream,
                   WorkerPool& workers,
                   InstanceRouter& router,
                   ReplySender& replies,
                   NodeMetrics& metrics,
                   Tracer& tracer)
    : core(core),
      clock(clock),
      table(table),
      admission(admission),
      inner_calls(inner_calls),
      upstream(upstream),
      workers(workers),
      router(router),
      replies(replies),
      metrics(metrics),
      tracer(tracer) {}

void Executor::Execute(const InstanceId& home, const wire::ExecuteRequest& request) {
  // A key is accepted at most once. From here on, every path ends in exactly one reply.
  const AcceptResult accepted = this->table.Accept(request.key());
  switch (accepted.decision) {
    case AcceptDecision::kDuplicateRunning:
      return;
    case AcceptDecision::kDuplicateDone:
      if (accepted.reply != nullptr) {
        this->replies.SendReply(home, accepted.reply->Message());
      } else {
        this->Refuse(home, request.key(), ErrorKind::kOutcomeLost);
      }
      return;
    case AcceptDecision::kRefused:
      this->Refuse(home, request.key(), accepted.error);
      return;
    case AcceptDecision::kNew:
      break;
  }

  const Ref<ExecutionJob> job(new ExecutionJob(*this, home, request));
  this->jobs.emplace(IdOf(request.key()), job);
  job->span = this->tracer.Begin(request.service(), request.kind(), request.traceparent());
  job->span.AddAttribute("hop", "execute");
  job->span.AddAttribute("action", request.action());
  job->span.decision = SpanDecision::kRefused;

  // Check the request against the manifest.
  const KindSpec* kind = this->manifest == nullptr
                             ? nullptr
                             : this->manifest->FindKind(request.service(), request.kind());
  if (const auto error = this->Check(kind, request); error.has_value()) {
    this->FinishWithError(*job, *error, Duration::zero());
    return;
  }

  // Request admission.
  job->idempotent = kind->idempotent;
  job->arrived = this->clock.Now();
  job->priority.importance =
      static_cast<std::uint8_t>(std::min<std::uint32_t>(request.importance(), kMaxImportance));
  job->priority.rank = static_cast<std::uint16_t>(request.rank());
  // The remaining time is capped at the deadline of the kind.
  const Duration remaining = RemainingTime(request.remaining_us(), kind->deadline);
  job->deadline = job->arrived + remaining;
  if (!this->InnerCallsAdmitted(*kind, job->priority)) {
    this->FinishWithError(*job, ErrorKind::kInnerCallRefused, this->router.ThresholdRetryAfter());
    return;
  }
  this->admission.Offer(*job);
}

std::optional<ErrorKind> Executor::Check(const KindSpec* kind,
                                         const wire::ExecuteRequest& request) const {
  if (this->manifest == nullptr) {
    return ErrorKind::kNoConfiguration;
  }
  if (kind == nullptr) {
    return ErrorKind::kNotFound;
  }
  return request.attempts() < kind->cost ? std::optional(ErrorKind::kAttemptsExhausted)
                                         : std::nullopt;
}

bool Executor::InnerCallsAdmitted(const KindSpec& kind, Priority priority) {
  return std::all_of(kind.calls.begin(), kind.calls.end(), [&](const KindRef& call) {
    return this->router.Admits(call.service, priority);
  });
}

void Executor::Cancel(const wire::ExecutionKey& key) {
  if (this->table.Cancel(key) != CancelDecision::kRunning) {
    return;
  }
  const auto found = this->jobs.find(IdOf(key));
  if (found == this->jobs.end()) {
    return;
  }
  const Ref<ExecutionJob> job = found->second;
  if (this->admission.Withdraw(*job)) {
    this->FinishWithError(*job, ErrorKind::kCancelledBeforeStart, Duration::zero());
  } else {
    job->call.Cancel();
  }
}

void Executor::OnAdmitted(ExecutionJob& job) {
  const Duration admission_wait = this->clock.Now() - job.arrived;
  this->metrics.admission_wait.Record(admission_wait);
  job.span.decision = SpanDecision::kAdmitted;
  job.span.attempt = 1;
  job.span.AddAttribute("wait_us",
                        std::to_string(duration_cast<microseconds>(admission_wait).count()));
  this->workers.Post(job);
}

void Executor::OnRefused(ExecutionJob& job, ErrorKind kind, Duration retry_after) {
  this->FinishWithError(job, kind, retry_after);
}

void Executor::RunOnUpstream(const Ref<ExecutionJob>& job) {
  const Ref<ExecutionContext> context = this->OpenContext(*job);
  const TimePoint started = this->clock.Now();
  wire::ExecuteReply reply = boost::leaf::try_handle_all(
      [&]() -> Result<wire::ExecuteReply> {
        BOOST_LEAF_AUTO(response, this->upstream.Send(this->MakeUpstreamRequest(*job, *context),
                                                      job->idempotent, job->deadline, job->call));
        wire::ExecuteReply complete;
        *complete.mutable_key() = job->request.key();
        *complete.mutable_response() = std::move(response);
        return complete;
      },
      [&](ErrorKind kind) { return ErrorReply(job->request.key(), kind, Duration::zero()); },
      [&] { return ErrorReply(job->request.key(), ErrorKind::kInternal, Duration::zero()); });
  const NodeCore::CriticalSection section(this->core);
  this->EndRun(*job, *context, this->clock.Now() - started, std::move(reply));
}

Ref<ExecutionContext> Executor::OpenContext(ExecutionJob& job) {
  const NodeCore::CriticalSection section(this->core);
  ContextParameters parameters;
  parameters.attempts = job.request.attempts();
  parameters.priority = job.priority;
  parameters.deadline = job.deadline;
  parameters.action = job.request.action();
  parameters.traceparent = job.span.context.Format();
  Ref<ExecutionContext> context = this->inner_calls.Open(std::move(parameters));
  context->Budget().Spend(1);
  return context;
}

wire::HttpRequest Executor::MakeUpstreamRequest(const ExecutionJob& job,
                                                const ExecutionContext& context) {
  wire::HttpRequest request = job.request.request();
  const auto remaining = duration_cast<milliseconds>(job.deadline - this->clock.Now());
  AddHeader(request, kContextHeader, context.Token());
  AddHeader(request, kActionHeader, job.request.action());
  AddHeader(request, kDeadlineHeader, std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  AddHeader(request, kTraceparentHeader, job.span.context.Format());
  return request;
}

void Executor::EndRun(ExecutionJob& job,
                      ExecutionContext& context,
                      Duration service_time,
                      wire::ExecuteReply reply) {
  const ContextSummary summary = this->inner_calls.Close(context);
  Completion completion = CompletionOf(reply.error());
  // The upstream gave up because another service refused an inner call, which says nothing about
  // the upstream's own load.
  if (completion == Completion::kShed && context.InnerRefused()) {
    completion = Completion::kCancelled;
    reply.set_error(static_cast<std::uint32_t>(ErrorKind::kInnerCallRefused));
    reply.set_retry_after_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(context.InnerRetryAfter()).count()));
  }
  // A retry of this execution would also run the inner call again, so the upstream's "not run"
  // cannot be forwarded.
  if (reply.error() != 0 && IsNotRun(static_cast<ErrorKind>(reply.error())) &&
      summary.inner_may_have_run) {
    reply.set_error(static_cast<std::uint32_t>(ErrorKind::kUpstreamBroken));
  }
  // An upstream that gave up at the deadline received too little time; it is not overloaded.
  if (completion == Completion::kShed && this->clock.Now() + kDeadlineSlack >= job.deadline) {
    completion = Completion::kCancelled;
  }
  reply.set_attempts_used(summary.attempts_used);
  const Duration self_time = service_time - context.InnerTime();
  this->metrics.service_time.Record(self_time);
  const Ref<ExecutionJob> keep(&job);
  this->admission.Complete(job, completion, self_time);
  this->Finish(job, std::move(reply));
}

void Executor::Finish(ExecutionJob& job, wire::ExecuteReply reply) {
  this->metrics.CountExecution(reply.error());
  this->tracer.End(job.span, reply.error() == 0 ? std::nullopt
                                                : std::optional(ErrorKindFromWire(reply.error())));
  const Ref<const StoredReply> stored(new StoredReply(std::move(reply)));
  this->table.Finish(job.request.key(), stored);
  this->replies.SendReply(job.home, stored->Message());
  this->jobs.erase(IdOf(job.request.key()));
}

void Executor::FinishWithError(ExecutionJob& job, ErrorKind kind, Duration retry_after) {
  this->Finish(job, ErrorReply(job.request.key(), kind, retry_after));
}

void Executor::Refuse(const InstanceId& home, const wire::ExecutionKey& key, ErrorKind kind) {
  this->metrics.CountExecution(static_cast<std::uint32_t>(kind));
  this->replies.SendReply(home, ErrorReply(key, kind, Duration::zero()));
}

}  // namespace masticpin
