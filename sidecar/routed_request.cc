#include "sidecar/routed_request.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>
#include <utility>

#include "masticpin/base/received_duration.h"
#include "masticpin/error/error_info.h"
#include "masticpin/execution/running_request_table.h"
#include "sidecar/caller_check.h"
#include "sidecar/final_status.h"
#include "sidecar/peer_protocol.h"
#include "sidecar/request_router.h"

namespace masticpin {
namespace {

/// Maximum number of sends of one request, including those that were refused. If every instance
/// refuses half of its requests without being full, eight sends per call are enough for a request
/// with ten calls in its call chain to succeed in 90 % of cases.
constexpr std::uint32_t kMaxSends = 8;

/// Number of refusals by nodes with full instances after which the request is refused. Each refusal
/// reports the load of its instance, and the next send goes to another one, so the third refusal
/// only occurs when the whole service is full.
constexpr std::uint32_t kMaxOverloadRefusals = 3;

/// With less time left than this, another attempt cannot complete.
constexpr Duration kMinTimeForRetry = std::chrono::milliseconds(15);

/// A caller that was refused because of overload is told to retry after a quarter of its target
/// latency, within these limits: early enough that a success is still useful, and late enough that
/// requests with a target of seconds do not return during the same overload.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1000);
constexpr int kRetryAfterDivisor = 4;

/// Importance of routes with urgency rank 0. It decreases by two per rank, so that inner calls fit
/// above their own request and below the requests of the next more urgent rank.
constexpr int kMaxCallerImportance = 8;

/// Identifies a route in reports of its work time; never 0.
std::uint32_t RouteKey(std::string_view name) {
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())),
                                 1);
}

std::string RetryAfterSeconds(Duration delay) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
  std::string text = std::to_string(milliseconds / 1000) + ".";
  const std::string fraction = std::to_string(milliseconds % 1000);
  return text.append(3 - fraction.size(), '0').append(fraction);
}

}  // namespace

RoutedRequest::RoutedRequest(RequestRouter& router, Ref<HttpExchange> exchange)
    : router(router), exchange(std::move(exchange)), configuration(router.configuration) {
  router.unfinished_requests.push_back(*this);
}

RoutedRequest::~RoutedRequest() {
  this->exchange->SetObserver(nullptr);
}

void RoutedRequest::Start() {
  const HttpRequest& request = this->exchange->Request();
  this->id = std::string(request.fields.Find(this->router.dialect.request_id));
  if (this->configuration == nullptr) {
    this->Refuse(ErrorKind::kNoConfiguration, kMaxRetryAfter / 2, "no configuration received");
    return;
  }
  this->route = this->configuration->FindRoute(request.fields.Find("Host"), request.target);
  if (this->route == nullptr) {
    this->Refuse(ErrorKind::kNotFound, Duration::zero(), "no route matches the request");
    return;
  }
  RunningRequest* parent = this->router.executor.RunningRequests().FindParent(this->id);
  const CallerCheck caller = CheckCaller(*this->configuration, *this->route, request,
                                         this->router.dialect, this->id, parent != nullptr);
  this->inner = caller.inner;
  this->account = caller.account;
  if (caller.result == CallerCheck::Result::kUnauthenticated) {
    this->Refuse(ErrorKind::kUnauthenticated, Duration::zero(), "no valid key");
    return;
  }
  if (caller.result == CallerCheck::Result::kUnknownParent) {
    this->Refuse(ErrorKind::kInnerCallRefused, Duration::zero(),
                 "the request that made the inner call is not running");
    return;
  }
  this->ReadContext(this->inner ? parent : nullptr);
  if (this->inner && parent != nullptr) {
    parent->inner_call_time.OnStarted(this->exchange->ArrivedAt());
    this->inner_call_timed = true;
  }
  this->ChooseService();
  if (!this->IsAcceptedDuringStop()) {
    this->Refuse(ErrorKind::kDraining, Duration::zero(), "the node is shutting down");
    return;
  }

  if (this->account == nullptr) {
    this->Admit();
    return;
  }
  // The decision may come before Decide() returns.
  this->Track();
  const AllotmentDecision decision = this->router.accounts.Decide(*this->account, *this);
  if (decision != AllotmentDecision::kAsked) {
    this->OnAllotmentDecision(decision == AllotmentDecision::kAdmitted);
  }
}

void RoutedRequest::OnAllotmentDecision(bool admitted) {
  const Ref<RoutedRequest> keep(this);
  if (!admitted) {
    ++this->router.requests_over_allotment;
    this->Refuse(ErrorKind::kAllotmentExceeded, this->router.accounts.RetryAfter(*this->account),
                 "the account has used its allotment");
    return;
  }
  this->allotment_taken = true;
  this->Admit();
}

void RoutedRequest::Admit() {
  // Refuses requests of callers here if services further down the call chain are overloaded.
  if (!this->inner) {
    this->AssignPriority();
    EntryThrottle& throttle = this->router.GetThrottle(*this->route);
    if (!throttle.Admit(this->priority.rank)) {
      this->Refuse(ErrorKind::kOverloaded, Duration::zero(), "call chain is overloaded");
      return;
    }
    this->throttle_admitted = true;
  }
  if (this->TimeLeft() <= Duration::zero()) {
    this->Refuse(ErrorKind::kExpiredBeforeStart, Duration::zero(), "deadline has passed");
    return;
  }
  this->Track();
  this->Send();
}

void RoutedRequest::Track() {
  if (this->self == nullptr) {
    this->exchange->SetObserver(this);
    this->self = Ref<RoutedRequest>(this);
    this->router.timers.Schedule(*this, this->deadline);
  }
}

bool RoutedRequest::IsAcceptedDuringStop() const {
  // The request that made an inner call was accepted, and would fail without it.
  return this->inner ? this->MayStartAttempt()
                     : this->router.stop.AcceptsRequest(this->router.clock.Now(), this->deadline);
}

bool RoutedRequest::MayStartAttempt() const {
  return this->router.stop.AllowsAttempt(this->router.clock.Now(), this->deadline);
}

void RoutedRequest::ReadContext(const RunningRequest* parent) {
  const HttpRequest& request = this->exchange->Request();
  Duration allowed = this->route->timeout;
  const std::string_view remaining = request.fields.Find(this->router.dialect.remaining_ms);
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(remaining.data(), remaining.data() + remaining.size(), milliseconds);
  if (error == std::errc() && milliseconds >= 0) {
    allowed = std::min(allowed, ReceivedDuration<std::chrono::milliseconds>(
                                    static_cast<std::uint64_t>(milliseconds)));
  }
  this->deadline = this->exchange->ArrivedAt() + allowed;

  const std::string_view root = RunningRequestTable::RootOf(this->id);
  this->priority.rank = static_cast<std::uint16_t>(XXH3_64bits(root.data(), root.size()));
  if (parent != nullptr) {
    this->is_retry = parent->is_retry;
    // Odd importances are those of inner calls; an inner call of an inner call has the same
    // importance.
    this->priority.importance = parent->priority.importance | 1;
  }
}

void RoutedRequest::AssignPriority() {
  if (this->account != nullptr) {
    this->priority.rank = this->router.accounts.Rank(*this->account, this->priority.rank);
  }
  const std::uint32_t urgency_rank =
      this->account != nullptr ? this->account->urgency_rank.value_or(this->route->urgency_rank)
                               : this->route->urgency_rank;
  const int importance = kMaxCallerImportance - 2 * static_cast<int>(std::min<std::uint32_t>(
                                                        urgency_rank, kMaxCallerImportance / 2));
  // The requests with the highest ranks of each route are served first, whatever its urgency.
  constexpr double kRanks = 65536;
  const bool protected_share =
      this->priority.rank >= kRanks * (1 - this->router.settings.minimum_share);
  this->priority.importance =
      static_cast<std::uint8_t>(protected_share ? kMaxCallerImportance : importance);
}

void RoutedRequest::ChooseService() {
  const std::vector<RouteDestination>& destinations = this->route->destinations;
  std::uint64_t total = 0;
  for (const RouteDestination& destination : destinations) {
    total += destination.weight;
  }
  std::uint64_t point = total == 0 ? 0 : this->router.random.NextBelow(total);
  this->service = destinations.front().service;
  for (const RouteDestination& destination : destinations) {
    if (point < destination.weight) {
      this->service = destination.service;
      break;
    }
    point -= destination.weight;
  }
}

std::string_view RoutedRequest::ChooseInstance() const {
  if (this->MayTryNewInstance()) {
    return this->router.balancer.Choose(this->service, this->excluded_instances);
  }
  return this->router.balancer.Choose(this->service, this->excluded_instances,
                                      this->reached_instances);
}

void RoutedRequest::RecordReachedInstance(const std::string& name) {
  if (std::find(this->reached_instances.begin(), this->reached_instances.end(), name) ==
      this->reached_instances.end()) {
    this->reached_instances.push_back(name);
  }
}

void RoutedRequest::Send() {
  const std::string_view chosen = this->ChooseInstance();
  const UpstreamInstance* found = chosen.empty() ? nullptr : this->router.directory.Find(chosen);
  if (found == nullptr) {
    this->RefuseOrWait(ErrorKind::kNoInstance, Duration::zero(),
                       this->excluded_instances.empty() ? "no instance is listed"
                                                        : "no other instance is available");
    return;
  }
  ++this->sends;
  this->Execute(*found, this->BuildRequest(), this->exchange->Body(),
                RequestAttempt::Purpose::kRun);
}

void RoutedRequest::Execute(const UpstreamInstance& to,
                            wire::ExecutionRequest message,
                            Ref<const MessageBody> body,
                            RequestAttempt::Purpose purpose) {
  this->instance = to.name;
  RequestAttemptObserver& observer = *this;
  this->attempt = std::make_unique<RequestAttempt>(observer, this->router.balancer, to.name,
                                                   this->router.next_call_id++, purpose);
  // The attempt may end, and another one start, before Start() returns.
  const Ref<RoutedRequest> keep(this);
  if (to.address == this->router.settings.upstream_address) {
    this->attempt->Start(this->router.executor, nullptr, std::move(message), std::move(body));
  } else {
    const Ref<PeerLink> link = this->router.peers.GetLink(to);
    this->attempt->Start(*link, link, std::move(message), std::move(body));
  }
}

std::unique_ptr<RequestAttempt> RoutedRequest::TakeAttempt(RequestAttempt& ended) {
  if (this->attempt.get() == &ended) {
    return std::move(this->attempt);
  }
  const auto found =
      std::find_if(this->stalled_attempts.begin(), this->stalled_attempts.end(),
                   [&ended](const auto& stalled) { return stalled.get() == &ended; });
  assert(found != this->stalled_attempts.end());
  std::unique_ptr<RequestAttempt> taken = std::move(*found);
  this->stalled_attempts.erase(found);
  // PrepareHedge() counted it; its end without an answer is counted like that of any attempt.
  --this->runs;
  return taken;
}

void RoutedRequest::CancelAttempts(InstanceOutcome outcome) {
  if (this->attempt != nullptr) {
    const std::unique_ptr<RequestAttempt> current = std::move(this->attempt);
    current->Cancel(current->IsGrantRequest() ? InstanceOutcome::kNone : outcome);
  }
  for (const std::unique_ptr<RequestAttempt>& stalled : this->stalled_attempts) {
    stalled->Cancel(InstanceOutcome::kNone);
  }
  this->stalled_attempts.clear();
}

wire::ExecutionRequest RoutedRequest::BuildRequest() const {
  const HttpRequest& request = this->exchange->Request();
  const HttpDialect& dialect = this->router.dialect;
  wire::ExecutionRequest message;
  message.set_caller_service(this->router.settings.service);
  message.set_request_id(this->id);
  message.set_method(request.method);
  message.set_target(request.target);
  std::vector<std::string_view> excluded = {dialect.request_id, dialect.remaining_ms,
                                            dialect.expected_instance, dialect.caller_service};
  if (this->configuration->RequiresKeys()) {
    excluded.push_back(dialect.authorization);
    excluded.push_back(dialect.client_account);
  }
  std::string& lines = *message.mutable_header_lines();
  request.fields.AppendEndToEndLines(excluded, lines);
  if (this->account != nullptr) {
    lines.append(dialect.client_account).append(": ").append(this->account->name).append("\r\n");
  }
  message.set_remaining_us(ToRemainingMicroseconds(this->TimeLeft()));
  message.set_idempotent(this->route->idempotent);
  message.set_importance(this->priority.importance);
  message.set_rank(this->priority.rank);
  message.set_inner(this->inner);
  message.set_repeated(this->is_retry);
  message.set_repeat_cost(this->retry_cost);
  message.set_granted_elsewhere(this->granted_elsewhere);
  if (this->router.settings.learn_speed) {
    message.set_route_key(RouteKey(this->route->name));
  }
  return message;
}

void RoutedRequest::OnAttemptReply(RequestAttempt& source, wire::ExecutionReply reply) {
  const Ref<RoutedRequest> keep(this);
  std::unique_ptr<RequestAttempt> ended = this->TakeAttempt(source);
  if (ended->IsGrantRequest()) {
    ended->End(InstanceOutcome::kNone);
    if (reply.error() == 0 && this->MayStartAttempt()) {
      this->granted_elsewhere = true;
      this->Send();
    } else {
      this->OnRetryDenied();
    }
    return;
  }
  if (this->router.settings.learn_speed) {
    this->router.balancer.OnWorkTime(ended->Instance(), RouteKey(this->route->name),
                                     DecodeWorkTime(reply.load()));
  }
  if (reply.reached_instance()) {
    this->RecordReachedInstance(ended->Instance());
    this->inner_calls = reply.inner_calls();
  }
  if (reply.chain_refused()) {
    this->refused_for_load = true;
    this->chain_refused = true;
  }
  if (reply.error() != 0) {
    this->OnAttemptRefused(std::move(ended), reply);
    return;
  }
  if (!IsFinalStatus(reply.status())) {
    reply.set_error(static_cast<std::uint32_t>(ErrorKind::kUpstreamBroken));
    this->OnAttemptRefused(std::move(ended), reply);
    return;
  }
  // A failure of the server itself may be caused by a fault of this instance; a failure caused by
  // an inner call is not.
  const bool server_failure =
      reply.status() >= 500 && reply.status() != 504 && !reply.chain_failed();
  ended->End(server_failure ? InstanceOutcome::kFailed : InstanceOutcome::kGood);
  this->may_have_run = true;
  if (server_failure && this->attempt != nullptr) {
    // The request is already repeated elsewhere.
    this->last_reply = std::make_unique<wire::ExecutionReply>(std::move(reply));
    ++this->runs;
    return;
  }
  this->instance = ended->Instance();
  if (server_failure && this->route->idempotent && this->PrepareRetry(ErrorKind::kUpstreamBroken)) {
    this->last_reply = std::make_unique<wire::ExecutionReply>(std::move(reply));
    this->Send();
    return;
  }
  this->Respond(std::move(reply));
}

void RoutedRequest::OnAttemptRefused(std::unique_ptr<RequestAttempt> ended,
                                     const wire::ExecutionReply& reply) {
  const ErrorKind kind = ErrorKindFromWire(reply.error());
  InstanceOutcome outcome = InstanceOutcome::kRefused;
  if (!IsNotRun(kind) || kind == ErrorKind::kUpstreamShed ||
      kind == ErrorKind::kUpstreamUnreachable) {
    outcome = InstanceOutcome::kFailed;
  }
  ended->End(outcome);
  // A stopping node that has a limit refuses only requests that would not end in time.
  if (kind == ErrorKind::kDraining && reply.load().limit() == 0) {
    this->router.balancer.OnNodeLeaving(ended->Instance());
  }
  this->may_have_run |= !IsNotRun(kind);
  if (this->attempt != nullptr) {
    // A stalled attempt has ended; the request is already repeated elsewhere.
    this->runs += IsNotRun(kind) ? 0 : 1;
    return;
  }
  this->instance = ended->Instance();
  if (kind == ErrorKind::kAttemptsExhausted) {
    this->RequestGrant();
  } else {
    this->OnAttemptFailed(kind, ReceivedDuration<std::chrono::milliseconds>(reply.retry_after_ms()),
                          "refused");
  }
}

void RoutedRequest::OnAttemptLost(RequestAttempt& source, ErrorKind kind, std::string_view reason) {
  const Ref<RoutedRequest> keep(this);
  const std::unique_ptr<RequestAttempt> ended = this->TakeAttempt(source);
  ended->End(InstanceOutcome::kNodeLost);
  if (ended->IsGrantRequest()) {
    this->OnRetryDenied();
    return;
  }
  if (!IsNotRun(kind)) {
    this->RecordReachedInstance(ended->Instance());
    this->may_have_run = true;
  }
  if (this->attempt != nullptr) {
    // A stalled attempt has ended; the request is already repeated elsewhere.
    this->runs += IsNotRun(kind) ? 0 : 1;
    return;
  }
  this->instance = ended->Instance();
  this->OnAttemptFailed(kind, Duration::zero(), reason);
}

void RoutedRequest::OnAttemptStalled(RequestAttempt& source) {
  const Ref<RoutedRequest> keep(this);
  if (&source != this->attempt.get()) {
    return;
  }
  if (source.IsGrantRequest()) {
    const std::unique_ptr<RequestAttempt> ended = this->TakeAttempt(source);
    ended->Cancel(InstanceOutcome::kNone);
    this->OnRetryDenied();
    return;
  }
  if (!this->PrepareHedge()) {
    return;
  }
  this->may_have_run = true;
  this->last_error = ErrorKind::kPeerLost;
  this->last_retry_after = Duration::zero();
  this->stalled_attempts.push_back(std::move(this->attempt));
  this->Send();
}

void RoutedRequest::OnAttemptFailed(ErrorKind kind, Duration retry_after, std::string_view reason) {
  if (kind == ErrorKind::kOverloaded) {
    this->refused_for_load = true;
  }
  if (this->PrepareRetry(kind)) {
    this->last_error = kind;
    this->last_retry_after = retry_after;
    this->Send();
    return;
  }
  this->RefuseOrWait(kind, retry_after, reason);
}

void RoutedRequest::RequestGrant() {
  const std::string_view other =
      this->router.balancer.InstanceWithMostRetriesLeft(this->service, this->instance);
  const UpstreamInstance* found = other.empty() ? nullptr : this->router.directory.Find(other);
  if (found == nullptr) {
    this->OnRetryDenied();
    return;
  }
  wire::ExecutionRequest message;
  message.set_request_id(this->id);
  message.set_importance(this->priority.importance);
  message.set_rank(this->priority.rank);
  message.set_inner(this->inner);
  message.set_repeat_cost(this->retry_cost);
  this->Execute(*found, std::move(message), nullptr, RequestAttempt::Purpose::kGrant);
}

void RoutedRequest::OnRetryDenied() {
  this->RefuseOrWait(this->last_error, this->last_retry_after, "retry budget is used up");
}

void RoutedRequest::RefuseOrWait(ErrorKind kind, Duration retry_after, std::string_view reason) {
  if (!this->stalled_attempts.empty()) {
    return;
  }
  if (this->last_reply != nullptr) {
    // A failure of the server's own tells the caller more than one of this node.
    this->Respond(std::move(*this->last_reply));
    return;
  }
  this->Refuse(kind, retry_after, reason);
}

bool RoutedRequest::PrepareHedge() {
  const bool may_run_twice = this->route->idempotent && this->runs + 1 < this->route->attempts;
  if (!may_run_twice || this->sends >= kMaxSends || this->TimeLeft() < kMinTimeForRetry ||
      !this->MayStartAttempt()) {
    return false;
  }
  const std::vector<std::string> previously_reached = this->reached_instances;
  this->RecordReachedInstance(this->instance);
  this->excluded_instances.push_back(this->instance);
  if (!this->MayTryNewInstance() || this->ChooseInstance().empty()) {
    this->excluded_instances.pop_back();
    this->reached_instances = previously_reached;
    return false;
  }
  ++this->runs;
  this->RequireGrant();
  this->LogRepeat(ErrorKind::kPeerLost);
  return true;
}

void RoutedRequest::RequireGrant() {
  this->is_retry = true;
  this->retry_cost = 1 + this->inner_calls;
  this->granted_elsewhere = false;
}

void RoutedRequest::LogRepeat(ErrorKind kind) const {
  spdlog::info("event=request_repeated id={} service={} instance={} error={} sends={} reached={}",
               this->id, this->service, this->instance, GetErrorInfo(kind).name, this->sends,
               this->reached_instances.size());
}

bool RoutedRequest::PrepareRetry(ErrorKind kind) {
  if (this->sends >= kMaxSends || this->TimeLeft() < kMinTimeForRetry || !this->MayStartAttempt()) {
    return false;
  }
  if (kind == ErrorKind::kOverloaded && ++this->overload_refusals >= kMaxOverloadRefusals) {
    return false;
  }
  const bool not_run = IsNotRun(kind);
  if (!not_run && (!this->route->idempotent || ++this->runs >= this->route->attempts)) {
    return false;
  }
  const bool reached_instance = !not_run || kind == ErrorKind::kUpstreamShed;
  if (!reached_instance && !GetErrorInfo(kind).retry_elsewhere) {
    return false;
  }

  // Determine where the next attempt may go.
  if (!this->MayTryNewInstance() && kind == ErrorKind::kUpstreamShed) {
    // No further instance may receive the request, but one that refused it may accept it now.
    this->excluded_instances.clear();
  } else if (!this->MayTryNewInstance() && !not_run) {
    // An instance that failed is likely to fail again.
    return false;
  } else {
    this->excluded_instances.push_back(this->instance);
  }
  if (this->ChooseInstance().empty()) {
    if (!reached_instance) {
      return false;
    }
    // An instance that refused or failed may still succeed on a retry.
    this->excluded_instances.clear();
  }

  if (reached_instance) {
    // The retry counts against the service's retry budget and must be granted by the node of the
    // instance that it is sent to.
    this->RequireGrant();
  }
  this->LogRepeat(kind);
  return true;
}

void RoutedRequest::Respond(wire::ExecutionReply reply) {
  const bool failed = reply.status() >= 500;
  if (failed) {
    spdlog::info(
        "event=request_failed id={} route={} instance={} status={} chain_failed={} "
        "chain_refused={} ms={}",
        this->id, this->route->name, this->instance, reply.status(), reply.chain_failed(),
        reply.chain_refused(),
        std::chrono::duration_cast<std::chrono::milliseconds>(this->router.clock.Now() -
                                                              this->exchange->ArrivedAt())
            .count());
  }
  this->ReportToParent(failed);
  std::string lines = this->router.dialect.request_id + ": " + this->id + "\r\n";
  lines.append(reply.header_lines());
  this->Finish(OutgoingResponse{static_cast<int>(reply.status()), reply.reason(), std::move(lines),
                                std::move(*reply.mutable_body())});
}

void RoutedRequest::Refuse(ErrorKind kind, Duration retry_after, std::string_view reason) {
  const masticpin::ErrorInfo& error_info = GetErrorInfo(kind);
  // After an attempt with an unknown outcome, the request may have run even if the last attempt did
  // not.
  const bool refusal = IsNotRun(kind) && !this->may_have_run;
  int status = error_info.http_status;
  if (refusal && status >= 500) {
    status = 503;
  } else if (!refusal && IsNotRun(kind) && status != 504) {
    // Of these statuses, only 504 does not promise that the request has not run.
    status = 502;
  }
  OutgoingResponse reply;
  reply.status = status;
  reply.reason = std::string(error_info.name);
  if (refusal && this->allotment_taken) {
    this->allotment_taken = false;
    this->router.accounts.Refund(*this->account);
  }
  if (status == 429 && kind == ErrorKind::kAllotmentExceeded) {
    reply.header_lines = "Retry-After: " + RetryAfterSeconds(retry_after) + "\r\n";
  }
  if (status == 503) {
    // Randomize the delay, so that callers that were refused together do not retry together.
    Duration delay = retry_after;
    if (this->route != nullptr) {
      const Duration base_delay = std::clamp(this->route->target_latency / kRetryAfterDivisor,
                                             kMinRetryAfter, kMaxRetryAfter);
      const double share = this->inner ? 0 : this->router.GetThrottle(*this->route).RefusalShare();
      delay = std::chrono::duration_cast<Duration>(base_delay * (1 + 2 * share));
    }
    delay = delay / 2 +
            Duration(this->router.random.NextBelow(static_cast<std::uint64_t>(delay.count()) + 1));
    reply.header_lines = "Retry-After: " + RetryAfterSeconds(delay) + "\r\n";
  }
  if (kind == ErrorKind::kUnauthenticated) {
    reply.header_lines = "WWW-Authenticate: " + this->router.dialect.key_scheme + "\r\n";
  }
  spdlog::info(
      "event=request_refused id={} route={} account=\"{}\" service={} instance={} error={} "
      "status={} "
      "importance={} rank={} inner={} sends={} version={} ms={} reason=\"{}\"",
      this->id, this->route == nullptr ? "" : this->route->name,
      this->account == nullptr ? "" : this->account->name, this->service, this->instance,
      error_info.name, status, this->priority.importance, this->priority.rank, this->inner,
      this->sends, this->router.ConfigurationVersion(),
      std::chrono::duration_cast<std::chrono::milliseconds>(this->router.clock.Now() -
                                                            this->exchange->ArrivedAt())
          .count(),
      reason);
  if (this->may_have_run) {
    this->LogMissingAnswer(kind, status, reason);
  }
  if (kind == ErrorKind::kOverloaded) {
    this->refused_for_load = true;
  }
  this->ReportToParent(true);
  this->Finish(std::move(reply));
}

void RoutedRequest::LogMissingAnswer(ErrorKind kind, int status, std::string_view reason) const {
  const TimePoint now = this->router.clock.Now();
  const auto age_ms = [now](std::optional<TimePoint> since) -> std::int64_t {
    return since ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count() : -1;
  };
  spdlog::warn(
      "event=answer_missing id={} route={} instance={} error={} status={} idempotent={} sends={} "
      "reached={} ms={} timeout_ms={} stopping_ms={} reload_ms={} version={} version_in_force={} "
      "version_ms={} reason=\"{}\"",
      this->id, this->route->name, this->instance, GetErrorInfo(kind).name, status,
      this->route->idempotent, this->sends, this->reached_instances.size(),
      age_ms(this->exchange->ArrivedAt()),
      std::chrono::duration_cast<std::chrono::milliseconds>(this->route->timeout).count(),
      age_ms(this->router.stop.BeganAt()), age_ms(this->router.reloaded_at),
      this->configuration->Version(), this->router.ConfigurationVersion(),
      age_ms(this->router.configured_at), reason);
}

void RoutedRequest::EndInnerCallTime() {
  if (!this->inner_call_timed) {
    return;
  }
  this->inner_call_timed = false;
  RunningRequest* parent = this->router.executor.RunningRequests().FindParent(this->id);
  if (parent != nullptr) {
    parent->inner_call_time.OnEnded(this->router.clock.Now());
  }
}

void RoutedRequest::ReportToParent(bool failed) {
  this->EndInnerCallTime();
  const bool has_key =
      this->exchange->Request().fields.Count(this->router.dialect.authorization) > 0;
  if (has_key && this->configuration != nullptr && this->configuration->RequiresKeys()) {
    return;  // A caller may have chosen the id of an inner call.
  }
  RunningRequest* parent = this->router.executor.RunningRequests().FindParent(this->id);
  if (parent == nullptr) {
    return;
  }
  ++parent->inner_calls;
  parent->inner_calls += this->inner_calls;
  parent->chain_failed |= failed;
  parent->chain_refused |= failed && this->refused_for_load;
}

void RoutedRequest::Finish(OutgoingResponse reply) {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->router.timers.Cancel(*this);
  this->AllotmentWaiterHook::unlink();
  if (this->throttle_admitted) {
    this->router.GetThrottle(*this->route)
        .OnEnd(this->exchange->ArrivedAt(), this->chain_refused && reply.status >= 500);
  }
  this->router.latency.Record(this->router.clock.Now() - this->exchange->ArrivedAt());
  this->router.CountResponse(reply.status);
  const Ref<RoutedRequest> keep = std::move(this->self);
  this->CancelAttempts(InstanceOutcome::kNone);
  this->exchange->Respond(std::move(reply));
}

void RoutedRequest::OnCallerDisconnected() {
  const Ref<RoutedRequest> keep(this);
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->EndInnerCallTime();
  this->router.timers.Cancel(*this);
  this->AllotmentWaiterHook::unlink();
  this->CancelAttempts(InstanceOutcome::kNone);
  if (this->allotment_taken && this->sends == 0) {
    this->router.accounts.Refund(*this->account);
  }
  if (this->throttle_admitted) {
    this->router.GetThrottle(*this->route).OnEnd(this->exchange->ArrivedAt(), this->chain_refused);
  }
  spdlog::info("event=caller_gone id={} route={} instance={} idempotent={} sends={} ms={}",
               this->id, this->route->name, this->instance, this->route->idempotent, this->sends,
               std::chrono::duration_cast<std::chrono::milliseconds>(this->router.clock.Now() -
                                                                     this->exchange->ArrivedAt())
                   .count());
  this->self.reset();
}

void RoutedRequest::OnTimer(TimePoint) {
  this->EndEarly(InstanceOutcome::kFailed, ErrorKind::kDeadlineExceeded,
                 ErrorKind::kExpiredBeforeStart, "deadline reached");
}

void RoutedRequest::OnResponseDue() {
  // If the request may have run, Refuse() does not answer with the status of a refusal.
  this->EndEarly(InstanceOutcome::kNone, ErrorKind::kDraining, ErrorKind::kDraining,
                 "the process exits, and later responses of the connection wait");
}

void RoutedRequest::EndEarly(InstanceOutcome outcome,
                             ErrorKind if_run,
                             ErrorKind if_not_run,
                             std::string_view reason) {
  const Ref<RoutedRequest> keep(this);
  this->may_have_run |= this->attempt != nullptr && !this->attempt->IsGrantRequest();
  this->CancelAttempts(outcome);
  if (this->last_reply != nullptr) {
    this->Respond(std::move(*this->last_reply));
    return;
  }
  this->Refuse(this->may_have_run ? if_run : if_not_run, Duration::zero(), reason);
}

void RoutedRequest::LogCut() const {
  spdlog::warn("event=request_cut id={} route={} service={} instance={} sends={} sent={} ms={}",
               this->id, this->route == nullptr ? "" : this->route->name, this->service,
               this->instance, this->sends, this->HasAttempt(),
               std::chrono::duration_cast<std::chrono::milliseconds>(this->router.clock.Now() -
                                                                     this->exchange->ArrivedAt())
                   .count());
}

Duration RoutedRequest::TimeLeft() const {
  return this->deadline - this->router.clock.Now();
}

}  // namespace masticpin
