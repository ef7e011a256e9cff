#include "sidecar/origin_request.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/execution/running_request_table.h"
#include "sidecar/request_origin.h"

namespace masticpin {
namespace {

/// Sends of one request, refusals included. Where every instance refuses half of its requests
/// without being full, a request with ten calls in its chain needs eight sends for each of them to
/// succeed in nine cases of ten.
constexpr std::uint32_t kMaxSends = 8;

/// Refusals by nodes whose instances are full after which a request is refused. Each tells this
/// node the load of another instance, so that a third one only fails when the whole service is
/// full.
constexpr std::uint32_t kMaxOverloadRefusals = 3;

/// With less time than this left, another attempt cannot reach its end.
constexpr Duration kLeastTimeForRetry = std::chrono::milliseconds(15);

/// A caller that was refused for load comes back after a quarter of its target latency, between
/// these bounds: soon enough that a later success is still of value, and late enough that requests
/// with a target of seconds do not come back into the same overload.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kLongestRetryAfter = std::chrono::milliseconds(1000);
constexpr int kRetryAfterPart = 4;

/// Importance of the routes with urgency rank 0; each rank is two lower, so that the calls which a
/// request causes fit in above it and below the requests of the next rank.
constexpr int kHighestCallerImportance = 8;

std::string RetryAfterSeconds(Duration delay) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
  std::string text = std::to_string(milliseconds / 1000) + ".";
  const std::string fraction = std::to_string(milliseconds % 1000);
  return text.append(3 - fraction.size(), '0').append(fraction);
}

}  // namespace

OriginRequest::OriginRequest(RequestOrigin& origin, Ref<HttpExchange> exchange)
    : origin(origin), exchange(std::move(exchange)), configuration(origin.configuration) {
  ++origin.requests_in_progress;
  origin.body_bytes_in_progress += this->exchange->Request().body.size();
}

OriginRequest::~OriginRequest() {
  this->exchange->SetObserver(nullptr);
  --this->origin.requests_in_progress;
  this->origin.body_bytes_in_progress -= this->exchange->Request().body.size();
}

void OriginRequest::Start() {
  const HttpRequest& request = this->exchange->Request();
  this->id = std::string(request.fields.Find(this->origin.dialect.request_id));
  if (this->configuration == nullptr) {
    this->Refuse(ErrorKind::kNoConfiguration, kLongestRetryAfter / 2, "no configuration received");
    return;
  }
  this->route = this->configuration->FindRoute(request.fields.Find("Host"), request.target);
  if (this->route == nullptr) {
    this->Refuse(ErrorKind::kNotFound, Duration::zero(), "no route");
    return;
  }
  this->ReadContext();
  this->DrawService();
  if (this->origin.body_bytes_in_progress > this->origin.settings.max_body_bytes_in_progress) {
    this->Refuse(ErrorKind::kOverloaded, kLongestRetryAfter, "bodies in progress");
    return;
  }

  // Requests of callers are refused here if services deeper in the chain are short.
  if (!this->inner) {
    EntryThrottle& throttle = this->origin.ThrottleFor(*this->route);
    if (!throttle.Admit(this->priority.rank)) {
      this->Refuse(ErrorKind::kOverloaded, Duration::zero(), "call chain is overloaded");
      return;
    }
    this->counted_by_throttle = true;
  }
  if (this->TimeLeft() <= Duration::zero()) {
    this->Refuse(ErrorKind::kExpiredBeforeStart, Duration::zero(), "no time left");
    return;
  }
  this->exchange->SetObserver(this);
  this->self = Ref<OriginRequest>(this);
  this->origin.timers.Schedule(*this, this->deadline);
  this->Send();
}

void OriginRequest::ReadContext() {
  const HttpRequest& request = this->exchange->Request();
  Duration allowed = this->route->timeout;
  const std::string_view remaining = request.fields.Find(this->origin.dialect.remaining_ms);
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(remaining.data(), remaining.data() + remaining.size(), milliseconds);
  if (error == std::errc() && milliseconds >= 0) {
    allowed = std::min<Duration>(allowed, std::chrono::milliseconds(milliseconds));
  }
  this->deadline = this->exchange->ArrivedAt() + allowed;

  const std::string_view root = RunningRequestTable::RootOf(this->id);
  this->priority.rank = static_cast<std::uint16_t>(XXH3_64bits(root.data(), root.size()));
  const RunningRequest* parent = this->origin.executor.Running().FindParent(this->id);
  if (parent != nullptr) {
    this->inner = true;
    this->repeated = parent->repeated;
    // Odd importances are those of calls; a call of a call has the same as its parent.
    this->priority.importance = parent->priority.importance | 1;
    return;
  }
  const int importance =
      kHighestCallerImportance - 2 * static_cast<int>(std::min<std::uint32_t>(
                                         this->route->urgency_rank, kHighestCallerImportance / 2));
  this->priority.importance = static_cast<std::uint8_t>(importance);
}

void OriginRequest::DrawService() {
  const std::vector<RouteDestination>& destinations = this->route->destinations;
  std::uint64_t total = 0;
  for (const RouteDestination& destination : destinations) {
    total += destination.weight;
  }
  std::uint64_t point = total == 0 ? 0 : this->origin.random.Below(total);
  this->service = destinations.front().service;
  for (const RouteDestination& destination : destinations) {
    if (point < destination.weight) {
      this->service = destination.service;
      break;
    }
    point -= destination.weight;
  }
}

std::string_view OriginRequest::ChooseInstance() const {
  if (this->MayReachAnother()) {
    return this->origin.balancer.Choose(this->service, this->tried);
  }
  return this->origin.balancer.Choose(this->service, this->tried, this->reached);
}

void OriginRequest::MarkReached() {
  if (std::find(this->reached.begin(), this->reached.end(), this->instance) ==
      this->reached.end()) {
    this->reached.push_back(this->instance);
  }
}

void OriginRequest::Send() {
  const std::string_view chosen = this->ChooseInstance();
  const UpstreamInstance* found = chosen.empty() ? nullptr : this->origin.directory.Find(chosen);
  if (found == nullptr) {
    this->Refuse(ErrorKind::kNoInstance, Duration::zero(),
                 this->tried.empty() ? "no instance is listed" : "no other instance is left");
    return;
  }
  ++this->sends;
  this->instance = found->name;
  this->Execute(*found, this->BuildRequest());
}

void OriginRequest::Execute(const UpstreamInstance& to, wire::ExecutionRequest message) {
  this->call = this->origin.next_call++;
  message.set_call(this->call);
  this->origin.balancer.OnSent(to.name);
  if (to.address == this->origin.settings.upstream_address) {
    this->link.reset();
    this->target = &this->origin.executor;
  } else {
    this->link = this->origin.peers.LinkTo(to);
    this->target = this->link.get();
  }
  // The attempt may end, and another one begin, within this call.
  const Ref<OriginRequest> keep(this);
  this->target->Execute(std::move(message), *this);
}

wire::ExecutionRequest OriginRequest::BuildRequest() const {
  const HttpRequest& request = this->exchange->Request();
  const HttpDialect& dialect = this->origin.dialect;
  wire::ExecutionRequest message;
  message.set_caller_service(this->origin.settings.service);
  message.set_request_id(this->id);
  message.set_method(request.method);
  message.set_target(request.target);
  request.fields.AppendEndToEndLines(
      {dialect.request_id, dialect.remaining_ms, dialect.expected_instance, dialect.caller_service},
      *message.mutable_header_lines());
  message.set_body(request.body);
  message.set_remaining_us(static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(this->TimeLeft()).count(), 0)));
  message.set_idempotent(this->route->idempotent);
  message.set_importance(this->priority.importance);
  message.set_rank(this->priority.rank);
  message.set_inner(this->inner);
  message.set_repeated(this->repeated);
  message.set_repeat_cost(this->repeat_cost);
  message.set_granted_elsewhere(this->granted_elsewhere);
  return message;
}

void OriginRequest::OnExecutionReply(const wire::ExecutionReply& reply) {
  const Ref<OriginRequest> keep(this);
  if (this->asks_for_grant) {
    this->asks_for_grant = false;
    this->EndAttempt(InstanceOutcome::kNone);
    if (reply.error() == 0) {
      this->granted_elsewhere = true;
      this->Send();
    } else {
      this->OnRepeatDenied();
    }
    return;
  }
  if (reply.reached_instance()) {
    this->MarkReached();
    this->inner_calls = reply.inner_calls();
  }
  if (reply.chain_refused()) {
    this->refused_for_load = true;
    this->chain_refused = true;
  }
  if (reply.error() != 0) {
    const ErrorKind kind = ErrorKindFromWire(reply.error());
    if (kind == ErrorKind::kAttemptsExhausted) {
      this->EndAttempt(InstanceOutcome::kRefused);
      this->AskForGrant();
      return;
    }
    this->may_have_run |= !IsNotRun(kind);
    InstanceOutcome outcome = InstanceOutcome::kRefused;
    if (!IsNotRun(kind) || kind == ErrorKind::kUpstreamShed ||
        kind == ErrorKind::kUpstreamUnreachable) {
      outcome = InstanceOutcome::kFailed;
    }
    if (kind == ErrorKind::kDraining) {
      this->origin.balancer.OnNodeLeaving(this->instance);
    }
    this->EndAttempt(outcome);
    this->OnAttemptFailed(kind, std::chrono::milliseconds(reply.retry_after_ms()), "refused");
    return;
  }
  // A failure of the server's own may be a fault of this one instance; one that a failed call
  // caused is not.
  const bool own_failure = reply.status() >= 500 && reply.status() != 504 && !reply.chain_failed();
  this->EndAttempt(own_failure ? InstanceOutcome::kFailed : InstanceOutcome::kGood);
  this->may_have_run = true;
  if (own_failure && this->route->idempotent && this->PrepareRetry(ErrorKind::kUpstreamBroken)) {
    this->last_answer = std::make_unique<wire::ExecutionReply>(reply);
    this->Send();
    return;
  }
  this->Answer(reply);
}

void OriginRequest::OnExecutionLost(ErrorKind kind, std::string_view reason) {
  const Ref<OriginRequest> keep(this);
  if (this->asks_for_grant) {
    this->asks_for_grant = false;
    this->EndAttempt(InstanceOutcome::kNodeLost);
    this->OnRepeatDenied();
    return;
  }
  if (!IsNotRun(kind)) {
    this->MarkReached();
    this->may_have_run = true;
  }
  this->EndAttempt(InstanceOutcome::kNodeLost);
  this->OnAttemptFailed(kind, Duration::zero(), reason);
}

void OriginRequest::OnAttemptFailed(ErrorKind kind, Duration retry_after, std::string_view reason) {
  if (kind == ErrorKind::kOverloaded) {
    this->refused_for_load = true;
  }
  if (this->PrepareRetry(kind)) {
    this->last_error = kind;
    this->last_retry_after = retry_after;
    this->Send();
    return;
  }
  this->Refuse(kind, retry_after, reason);
}

void OriginRequest::AskForGrant() {
  const std::string_view other =
      this->origin.balancer.InstanceWithMostRetriesLeft(this->service, this->instance);
  const UpstreamInstance* found = other.empty() ? nullptr : this->origin.directory.Find(other);
  if (found == nullptr) {
    this->OnRepeatDenied();
    return;
  }
  wire::ExecutionRequest message;
  message.set_request_id(this->id);
  message.set_importance(this->priority.importance);
  message.set_rank(this->priority.rank);
  message.set_inner(this->inner);
  message.set_repeat_cost(this->repeat_cost);
  message.set_grant_only(true);
  this->asks_for_grant = true;
  this->instance = found->name;
  this->Execute(*found, std::move(message));
}

void OriginRequest::OnRepeatDenied() {
  if (this->last_answer != nullptr) {
    this->Answer(*this->last_answer);
    return;
  }
  this->Refuse(this->last_error, this->last_retry_after, "retry budget is used up");
}

bool OriginRequest::PrepareRetry(ErrorKind kind) {
  if (this->sends >= kMaxSends || this->TimeLeft() < kLeastTimeForRetry) {
    return false;
  }
  if (kind == ErrorKind::kOverloaded && ++this->overload_refusals >= kMaxOverloadRefusals) {
    return false;
  }
  const bool not_run = IsNotRun(kind);
  if (!not_run && !this->route->idempotent) {
    return false;
  }
  const bool reached_instance = !not_run || kind == ErrorKind::kUpstreamShed;
  if (!reached_instance && !GetErrorInfo(kind).retry_elsewhere) {
    return false;
  }

  // Find where the next attempt may go.
  if (!this->MayReachAnother() && kind == ErrorKind::kUpstreamShed) {
    // No further instance may get the request, but one that refused it may take it now.
    this->tried.clear();
  } else if (!this->MayReachAnother() && !not_run) {
    // An instance that failed is likely to fail again.
    return false;
  } else {
    this->tried.push_back(this->instance);
  }
  if (this->ChooseInstance().empty()) {
    if (!reached_instance) {
      return false;
    }
    // An instance that refused or failed may still answer a second time.
    this->tried.clear();
  }

  if (reached_instance) {
    // Another send counts against the shared budget, which the node beside the instance grants.
    this->repeated = true;
    this->repeat_cost = 1 + this->inner_calls;
    this->granted_elsewhere = false;
  }
  spdlog::info("event=request_repeated id={} service={} instance={} error={} sends={} reached={}",
               this->id, this->service, this->instance, GetErrorInfo(kind).name, this->sends,
               this->reached.size());
  return true;
}

void OriginRequest::EndAttempt(InstanceOutcome outcome) {
  if (this->call != 0) {
    this->call = 0;
    this->origin.balancer.OnOutcome(this->instance, outcome);
  }
}

void OriginRequest::Answer(const wire::ExecutionReply& reply) {
  const bool failed = reply.status() >= 500;
  if (failed) {
    spdlog::info(
        "event=request_failed id={} route={} instance={} status={} chain_failed={} "
        "chain_refused={} ms={}",
        this->id, this->route->name, this->instance, reply.status(), reply.chain_failed(),
        reply.chain_refused(),
        std::chrono::duration_cast<std::chrono::milliseconds>(this->origin.clock.Now() -
                                                              this->exchange->ArrivedAt())
            .count());
  }
  this->ReportToParent(failed);
  std::string lines = this->origin.dialect.request_id + ": " + this->id + "\r\n";
  lines.append(reply.header_lines());
  this->Finish(CallerReply{static_cast<int>(reply.status()), reply.reason(), std::move(lines),
                           reply.body()});
}

void OriginRequest::Refuse(ErrorKind kind, Duration retry_after, std::string_view reason) {
  const masticpin::Answer& answer = GetErrorInfo(kind);
  // After an attempt with an unknown outcome the request may have run, whatever the last one says.
  const bool refusal = IsNotRun(kind) && !this->may_have_run;
  int status = answer.http_status;
  if (refusal && status >= 500) {
    status = 503;
  } else if (!refusal && status == 503) {
    status = 502;
  }
  CallerReply reply;
  reply.status = status;
  reply.reason = std::string(answer.name);
  if (status == 503) {
    // Spread, so that callers which were refused together do not come back together.
    Duration delay = retry_after;
    if (this->route != nullptr) {
      const Duration part = std::clamp(this->route->target_latency / kRetryAfterPart,
                                       kShortestRetryAfter, kLongestRetryAfter);
      const double share = this->inner ? 0 : this->origin.ThrottleFor(*this->route).RefusalShare();
      delay = std::chrono::duration_cast<Duration>(part * (1 + 2 * share));
    }
    delay = delay / 2 +
            Duration(this->origin.random.Below(static_cast<std::uint64_t>(delay.count()) + 1));
    reply.header_lines = "Retry-After: " + RetryAfterSeconds(delay) + "\r\n";
  }
  spdlog::info(
      "event=request_refused id={} route={} service={} instance={} error={} status={} "
      "importance={} rank={} inner={} sends={} version={} ms={} reason=\"{}\"",
      this->id, this->route == nullptr ? "" : this->route->name, this->service, this->instance,
      answer.name, status, this->priority.importance, this->priority.rank, this->inner, this->sends,
      this->origin.ConfigurationVersion(),
      std::chrono::duration_cast<std::chrono::milliseconds>(this->origin.clock.Now() -
                                                            this->exchange->ArrivedAt())
          .count(),
      reason);
  if (kind == ErrorKind::kOverloaded) {
    this->refused_for_load = true;
  }
  this->ReportToParent(true);
  this->Finish(reply);
}

void OriginRequest::ReportToParent(bool failed) const {
  RunningRequest* parent = this->origin.executor.Running().FindParent(this->id);
  if (parent == nullptr) {
    return;
  }
  ++parent->inner_calls;
  parent->inner_calls += this->inner_calls;
  parent->chain_failed |= failed;
  parent->chain_refused |= failed && this->refused_for_load;
}

void OriginRequest::Finish(const CallerReply& reply) {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->origin.timers.Cancel(*this);
  if (this->counted_by_throttle) {
    this->origin.ThrottleFor(*this->route)
        .OnEnd(this->exchange->ArrivedAt(), this->chain_refused && reply.status >= 500);
  }
  this->origin.latency.Record(this->origin.clock.Now() - this->exchange->ArrivedAt());
  this->origin.CountAnswer(reply.status);
  const Ref<OriginRequest> keep = std::move(this->self);
  this->exchange->Respond(reply);
}

void OriginRequest::OnCallerGone() {
  const Ref<OriginRequest> keep(this);
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->origin.timers.Cancel(*this);
  if (this->call != 0) {
    this->target->Cancel(this->call);
    this->EndAttempt(InstanceOutcome::kNone);
  }
  if (this->counted_by_throttle) {
    this->origin.ThrottleFor(*this->route).OnEnd(this->exchange->ArrivedAt(), this->chain_refused);
  }
  spdlog::info("event=caller_gone id={} route={} instance={}", this->id, this->route->name,
               this->instance);
  this->self.reset();
}

void OriginRequest::OnTimer(TimePoint) {
  const Ref<OriginRequest> keep(this);
  if (this->call != 0) {
    this->target->Cancel(this->call);
    this->may_have_run |= !this->asks_for_grant;
    this->EndAttempt(this->asks_for_grant ? InstanceOutcome::kNone : InstanceOutcome::kFailed);
  }
  this->Refuse(this->may_have_run ? ErrorKind::kDeadlineExceeded : ErrorKind::kExpiredBeforeStart,
               Duration::zero(), "time limit reached");
}

Duration OriginRequest::TimeLeft() const {
  return this->deadline - this->origin.clock.Now();
}

}  // namespace masticpin
