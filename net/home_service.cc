#include "net/home_service.h"

#include <algorithm>
#include <utility>

#include "masticpin/error/error_info.h"
#include "net/http_connection.h"
#include "net/remaining_time.h"

namespace masticpin {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// How often a waiting thread checks whether its caller has disconnected. A caller takes longer
/// than this to retry after a lost connection.
constexpr Duration kCallerPollInterval = milliseconds(50);

/// How long past the deadline a thread still waits, so that the dispatcher's timeout at the
/// deadline can report how the action ended.
constexpr Duration kDeadlineGrace = milliseconds(100);

/// Maximum wait for the recheck that follows a pause of the process: the limit of a recheck, 250 ms
/// (see FleetStateSettings::recheck_wait), plus one timer interval.
constexpr Duration kMaxReadyWait = milliseconds(350);
constexpr Duration kReadyPollInterval = milliseconds(5);

/// Minimum importance of a request that is served on a connection above the connection limit.
constexpr std::uint8_t kOverflowImportance = 5;

bool CallerIsGone() {
  const HttpConnection* connection = HttpConnection::Current();
  return connection != nullptr && connection->IsClosedByPeer();
}

std::optional<ActionKey> ParseKey(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<ActionKey>> {
        BOOST_LEAF_AUTO(key, ActionKey::Parse(text));
        return std::optional<ActionKey>(std::move(key));
      },
      [] { return std::optional<ActionKey>(); });
}

}  // namespace

/// Waits for the end of a local action on behalf of another node, and replies to that node.
/// OnFinished() deletes the object.
class HomeService::ForwardedWaiter : public LedgerWaiter {
 public:
  ForwardedWaiter(HomeService& home, InstanceId ingress, std::uint64_t call_id)
      : home(home), ingress(std::move(ingress)), call_id(call_id) {}

  void OnFinished(LedgerEntry& entry, const ActionResult& result) override {
    (void)entry;
    this->Reply(this->home.ResponseOf(result));
    delete this;
  }

  void Reply(CallerResponse response) const {
    this->home.AddNextKey(response);
    wire::HomeReply reply;
    reply.set_call_id(this->call_id);
    if (response.error.has_value()) {
      reply.set_error(static_cast<std::uint32_t>(*response.error));
    } else {
      *reply.mutable_response() = std::move(response.http);
    }
    reply.set_retry_after_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(response.retry_after).count()));
    reply.set_key(response.key);
    reply.set_next_key(response.next_key);
    reply.set_next_key_life_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(response.next_key_lifetime).count()));
    this->home.channel.SendHomeReply(this->ingress, std::move(reply));
  }

 private:
  HomeService& home;
  const InstanceId ingress;
  const std::uint64_t call_id;
};

/// A request that this node forwarded to the home of its key.
struct HomeService::PendingForward {
  std::optional<wire::HomeReply> reply;
  std::condition_variable replied;
};

HomeService::HomeService(NodeCore& core,
                         const Clock& clock,
                         KeyIssuer& key_issuer,
                         ActionLedger& ledger,
                         InnerCallTable& inner_calls,
                         FleetState& fleet,
                         HomeChannel& channel,
                         NodeMetrics& metrics,
                         Tracer& tracer)
    : core(core),
      clock(clock),
      key_issuer(key_issuer),
      ledger(ledger),
      inner_calls(inner_calls),
      fleet(fleet),
      channel(channel),
      metrics(metrics),
      tracer(tracer) {}

HomeService::~HomeService() = default;

CallerResponse HomeService::Handle(CallerRequest request) {
  NodeCore::CriticalSection section(this->core);
  ++this->requests_in_progress;
  Span span = this->BeginSpan(request);
  const bool ready = this->WaitUntilReady(section);
  CallerResponse response = this->Serve(section, request, ready);
  --this->requests_in_progress;

  // Record the outcome of the request.
  span.decision = response.error.has_value() && IsNotRun(*response.error)
                      ? SpanDecision::kRefused
                      : SpanDecision::kForwarded;
  this->tracer.End(span, response.error);
  this->metrics.CountCallerResponse(response.error);
  this->metrics.caller_time.Record(span.Length());
  return response;
}

Span HomeService::BeginSpan(CallerRequest& request) {
  // An inner call of the local upstream belongs to the trace of the execution that makes it.
  const Ref<ExecutionContext> context = this->inner_calls.Find(request.context);
  Span span = this->tracer.Begin(
      request.service, request.kind,
      context == nullptr ? request.traceparent : context->Parameters().traceparent);
  span.AddAttribute("hop", context == nullptr ? "ingress" : "inner");
  span.AddAttribute("action", context == nullptr ? request.key : context->Parameters().action);
  request.traceparent = span.context.Format();
  return span;
}

CallerResponse HomeService::Serve(NodeCore::CriticalSection& section,
                                  const CallerRequest& request,
                                  bool ready) {
  if (!request.context.empty()) {
    return this->HandleInner(section, request);
  }
  if (!ready || this->manifest == nullptr) {
    // Only the home of a key can state that its action was not run.
    return this->ErrorResponse(request.key.empty() ? ErrorKind::kNoConfiguration
                                                   : ErrorKind::kPeerLost);
  }
  // The reference keeps the kind alive if a newer manifest arrives while this thread waits.
  const Ref<const Manifest> current_manifest = this->manifest;
  const KindSpec* kind = current_manifest->FindKind(request.service, request.kind);
  if (kind == nullptr) {
    return this->ErrorResponse(ErrorKind::kNotFound);
  }
  return this->HandleRoot(section, request, *kind);
}

bool HomeService::WaitUntilReady(NodeCore::CriticalSection& section) {
  const TimePoint end = this->clock.Now() + kMaxReadyWait;
  // Unlike a sleep, waiting on a condition variable releases the mutex, so that the replies of
  // peers can be handled.
  std::condition_variable never_notified;
  while (!this->fleet.Ready()) {
    if (this->clock.Now() >= end) {
      return false;
    }
    this->core.RunDeferred();
    never_notified.wait_for(section.Lock(), kReadyPollInterval);
  }
  return true;
}

CallerResponse HomeService::HandleInner(NodeCore::CriticalSection& section,
                                        const CallerRequest& request) {
  // The call belongs to an execution that runs on the local upstream.
  const Ref<ExecutionContext> context = this->inner_calls.Find(request.context);
  // The reference keeps the kind alive if a newer manifest arrives while this thread waits.
  const Ref<const Manifest> current_manifest = this->manifest;
  const KindSpec* kind = current_manifest == nullptr
                             ? nullptr
                             : current_manifest->FindKind(request.service, request.kind);
  if (context == nullptr) {
    return this->ErrorResponse(ErrorKind::kCancelledBeforeStart);
  }
  if (kind == nullptr) {
    return this->ErrorResponse(ErrorKind::kNotFound);
  }
  const TimePoint deadline =
      std::min(context->Parameters().deadline, this->DeadlineOf(request, *kind));

  InnerCall call;
  call.service = request.service;
  call.kind = request.kind;
  call.step = request.step;
  call.idempotent = kind->idempotent;
  call.cost = kind->cost;
  context->OnInnerBegan(this->clock.Now());
  CallerResponse response = this->RunInner(section, *context, *kind, call, request, deadline);
  context->OnInnerEnded(this->clock.Now());
  if (response.error.has_value() && IsNotRun(*response.error)) {
    context->OnInnerRefused(response.retry_after);
  }
  return response;
}

CallerResponse HomeService::RunInner(NodeCore::CriticalSection& section,
                                     const ExecutionContext& context,
                                     const KindSpec& kind,
                                     const InnerCall& call,
                                     const CallerRequest& request,
                                     TimePoint deadline) {
  CallerWaiter waiter;
  const BeginResult begin_result = this->inner_calls.BeginInner(request.context, call, waiter);
  if (begin_result.decision == BeginDecision::kStart) {
    DispatchRequest dispatch_request =
        this->MakeDispatchRequest(kind, context.Parameters().priority, deadline, request.http);
    dispatch_request.action = context.Parameters().action;
    dispatch_request.traceparent = request.traceparent;
    this->dispatcher->Dispatch(begin_result.entry, std::move(dispatch_request));
    return this->AwaitDispatch(section, kind, *begin_result.entry, waiter, deadline);
  }
  return begin_result.decision == BeginDecision::kJoined
             ? this->Await(section, *begin_result.entry, waiter, deadline)
             : this->ResponseOf(begin_result);
}

CallerResponse HomeService::HandleRoot(NodeCore::CriticalSection& section,
                                       const CallerRequest& request,
                                       const KindSpec& kind) {
  // A request without a key.
  if (request.key.empty()) {
    if (this->draining) {
      return this->ErrorResponse(ErrorKind::kDraining);
    }
    if (kind.key_required) {
      return this->ErrorWithNewKey(ErrorKind::kKeyRequired);
    }
    return this->HandleKeyless(section, request, kind);
  }

  // A key that another instance issued.
  const std::optional<ActionKey> key = ParseKey(request.key);
  if (!key.has_value()) {
    return this->ErrorWithNewKey(ErrorKind::kKeyInvalid);
  }
  if (key->home.name != this->key_issuer.Self().name) {
    return this->Forward(section, *key, request, kind);
  }

  // A key that was issued here, or by an earlier process of this instance.
  const TimePoint deadline = this->DeadlineOf(request, kind);
  if (request.overflow && kind.importance < kOverflowImportance) {
    return this->ResponseOf(this->ledger.Close(*key, ParametersOf(kind), ErrorKind::kOverloaded));
  }
  CallerWaiter waiter;
  const BeginResult begin_result = this->ledger.Begin(*key, ParametersOf(kind), waiter);
  CallerResponse response;
  if (begin_result.decision == BeginDecision::kStart) {
    DispatchRequest dispatch_request =
        this->MakeDispatchRequest(kind, {kind.importance, key->Rank()}, deadline, request.http);
    dispatch_request.action = key->ToText();
    dispatch_request.traceparent = request.traceparent;
    this->dispatcher->Dispatch(begin_result.entry, std::move(dispatch_request));
    response = this->AwaitDispatch(section, kind, *begin_result.entry, waiter, deadline);
  } else if (begin_result.decision == BeginDecision::kJoined) {
    response = this->Await(section, *begin_result.entry, waiter, deadline);
  } else {
    response = this->ResponseOf(begin_result);
  }
  this->AddNextKey(response);
  return response;
}

CallerResponse HomeService::HandleKeyless(NodeCore::CriticalSection& section,
                                          const CallerRequest& request,
                                          const KindSpec& kind) {
  if (request.overflow && kind.importance < kOverflowImportance) {
    return this->ErrorResponse(ErrorKind::kOverloaded);
  }
  CallerWaiter waiter;
  const BeginResult begin_result = this->ledger.BeginWithoutKey(ParametersOf(kind), waiter);
  if (begin_result.decision != BeginDecision::kStart) {
    return this->ResponseOf(begin_result);
  }
  // The key identifies the action in traces and gives it a rank; the caller never receives it.
  const ActionKey key = this->key_issuer.IssueKey();
  const TimePoint deadline = this->DeadlineOf(request, kind);
  DispatchRequest dispatch_request =
      this->MakeDispatchRequest(kind, {kind.importance, key.Rank()}, deadline, request.http);
  dispatch_request.action = key.ToText();
  dispatch_request.traceparent = request.traceparent;
  this->dispatcher->Dispatch(begin_result.entry, std::move(dispatch_request));
  return this->AwaitDispatch(section, kind, *begin_result.entry, waiter, deadline);
}

CallerResponse HomeService::Forward(NodeCore::CriticalSection& section,
                                    const ActionKey& key,
                                    const CallerRequest& request,
                                    const KindSpec& kind) {
  const Ref<const Member> member = this->fleet.Members().Find(key.home.name);
  if (this->fleet.Members().IsDeparted(key.home.incarnation)) {
    return this->ErrorResponse(ErrorKind::kOutcomeLost);
  }
  if (member == nullptr) {
    // This node may have started too recently to know the home, so it cannot state that the outcome
    // is lost.
    return this->ErrorResponse(ErrorKind::kPeerLost);
  }
  const TimePoint deadline = this->DeadlineOf(request, kind);
  PendingForward pending;
  const std::uint64_t call_id = this->next_call_id++;
  this->pending_forwards.emplace(call_id, &pending);

  wire::HomeRequest message;
  message.set_call_id(call_id);
  message.set_service(request.service);
  message.set_kind(request.kind);
  message.set_action_key(request.key);
  message.set_remaining_us(static_cast<std::uint64_t>(
      duration_cast<microseconds>(deadline - this->clock.Now()).count()));
  message.set_traceparent(request.traceparent);
  *message.mutable_request() = request.http;
  this->channel.SendHomeRequest(member->id, std::move(message));
  this->core.RunDeferred();
  pending.replied.wait_until(section.Lock(), deadline + kDeadlineGrace,
                             [&pending] { return pending.reply.has_value(); });
  this->pending_forwards.erase(call_id);

  if (!pending.reply.has_value()) {
    return this->ErrorResponse(ErrorKind::kPeerLost);
  }
  CallerResponse response;
  wire::HomeReply& reply = *pending.reply;
  if (reply.error() != 0) {
    response.error = ErrorKindFromWire(reply.error());
  } else {
    response.http = std::move(*reply.mutable_response());
  }
  response.retry_after = milliseconds(reply.retry_after_ms());
  response.key = reply.key();
  response.next_key = reply.next_key();
  response.next_key_lifetime = milliseconds(reply.next_key_life_ms());
  return response;
}

void HomeService::OnHomeRequest(const InstanceId& ingress, const wire::HomeRequest& request) {
  auto waiter = std::make_unique<ForwardedWaiter>(*this, ingress, request.call_id());
  const KindSpec* kind = this->manifest == nullptr
                             ? nullptr
                             : this->manifest->FindKind(request.service(), request.kind());
  const std::optional<ActionKey> key = ParseKey(request.action_key());
  if (kind == nullptr || !key.has_value()) {
    waiter->Reply(this->ErrorResponse(!key.has_value()            ? ErrorKind::kKeyInvalid
                                      : this->manifest == nullptr ? ErrorKind::kPeerLost
                                                                  : ErrorKind::kNotFound));
    return;
  }
  const BeginResult begin_result = this->ledger.Begin(*key, ParametersOf(*kind), *waiter);
  if (begin_result.decision == BeginDecision::kJoined) {
    (void)waiter.release();
    return;
  }
  if (begin_result.decision != BeginDecision::kStart) {
    waiter->Reply(this->ResponseOf(begin_result));
    return;
  }
  (void)waiter.release();
  const Duration remaining = RemainingTime(request.remaining_us(), kind->deadline);
  DispatchRequest dispatch_request = this->MakeDispatchRequest(
      *kind, {kind->importance, key->Rank()}, this->clock.Now() + remaining, request.request());
  dispatch_request.action = request.action_key();
  dispatch_request.traceparent = request.traceparent();
  this->dispatcher->Dispatch(begin_result.entry, std::move(dispatch_request));
}

void HomeService::OnHomeReply(const wire::HomeReply& reply) {
  const auto found = this->pending_forwards.find(reply.call_id());
  if (found == this->pending_forwards.end()) {
    this->metrics.dropped_replies.Increment();
    return;
  }
  found->second->reply = reply;
  found->second->replied.notify_one();
}

void HomeService::Drain() {
  this->draining = true;
  this->ledger.Drain();
}

void HomeService::OnDispatched(LedgerEntry& entry,
                               const ActionResult& result,
                               std::uint32_t attempts_used) {
  this->metrics.attempts.Increment(attempts_used);
  if (entry.IsInner()) {
    this->inner_calls.Finish(entry, result);
  } else {
    this->ledger.Finish(entry, result);
  }
}

CallerResponse HomeService::AwaitDispatch(NodeCore::CriticalSection& section,
                                          const KindSpec& kind,
                                          LedgerEntry& entry,
                                          CallerWaiter& waiter,
                                          TimePoint deadline) {
  const TimePoint started = this->clock.Now();
  CallerResponse response = this->Await(section, entry, waiter, deadline);
  // A refusal says nothing about the time that a request takes.
  if (!response.error.has_value() || *response.error == ErrorKind::kDeadlineExceeded ||
      *response.error == ErrorKind::kPeerLost) {
    this->ExpectedTimeOf(kind).Add(this->clock.Now() - started);
  }
  return response;
}

ExpectedTime& HomeService::ExpectedTimeOf(const KindSpec& kind) {
  return this->expected_times[{kind.service, kind.name}];
}

CallerResponse HomeService::Await(NodeCore::CriticalSection& section,
                                  LedgerEntry& entry,
                                  CallerWaiter& waiter,
                                  TimePoint deadline) {
  const Ref<LedgerEntry> keep(&entry);
  const TimePoint end = deadline + kDeadlineGrace;
  this->core.RunDeferred();
  while (!waiter.result.has_value()) {
    const TimePoint now = this->clock.Now();
    const bool caller_gone = CallerIsGone();
    if (caller_gone || now >= end) {
      waiter.StopWaiting();
      this->CancelIfAbandoned(entry);
      return this->ErrorResponse(caller_gone ? ErrorKind::kCancelled
                                             : ErrorKind::kDeadlineExceeded);
    }
    waiter.finished.wait_until(section.Lock(), std::min(end, now + kCallerPollInterval));
  }
  return this->ResponseOf(*waiter.result);
}

void HomeService::CancelIfAbandoned(LedgerEntry& entry) {
  // A non-idempotent action runs to completion, because a retry with its key can still get the
  // response; if it were cancelled, its outcome would stay unknown.
  if (!entry.HasWaiters() && entry.Running() && entry.Idempotent()) {
    this->dispatcher->Cancel(entry);
  }
}

ActionParameters HomeService::ParametersOf(const KindSpec& kind) {
  ActionParameters parameters;
  parameters.idempotent = kind.idempotent;
  parameters.attempts = kind.attempts;
  parameters.caller_tries = kind.caller_tries;
  parameters.cost = kind.cost;
  return parameters;
}

DispatchRequest HomeService::MakeDispatchRequest(const KindSpec& kind,
                                                 Priority priority,
                                                 TimePoint deadline,
                                                 wire::HttpRequest http) {
  DispatchRequest dispatch_request;
  dispatch_request.expected_time = this->ExpectedTimeOf(kind).Estimate();
  dispatch_request.service = kind.service;
  dispatch_request.kind = kind.name;
  dispatch_request.priority = priority;
  dispatch_request.deadline = deadline;
  dispatch_request.request = std::move(http);
  return dispatch_request;
}

CallerResponse HomeService::ResponseOf(const ActionResult& result) const {
  if (!result.error.has_value()) {
    CallerResponse response;
    response.http = result.response->Message();
    return response;
  }
  CallerResponse response = this->ErrorResponse(*result.error);
  response.retry_after = result.retry_after;
  if (result.successor.has_value()) {
    response.key = result.successor->ToText();
  }
  return response;
}

CallerResponse HomeService::ResponseOf(const BeginResult& begin_result) const {
  if (begin_result.decision == BeginDecision::kReplay) {
    return this->ResponseOf(ActionResult::Complete(begin_result.response));
  }
  ActionResult result = ActionResult::Failed(begin_result.error);
  result.successor = begin_result.successor;
  return this->ResponseOf(result);
}

CallerResponse HomeService::ErrorResponse(ErrorKind kind) const {
  CallerResponse response;
  response.error = kind;
  return response;
}

CallerResponse HomeService::ErrorWithNewKey(ErrorKind kind) {
  CallerResponse response = this->ErrorResponse(kind);
  response.key = this->key_issuer.IssueKey().ToText();
  return response;
}

void HomeService::AddNextKey(CallerResponse& response) {
  const bool ended = !response.error.has_value() || *response.error == ErrorKind::kAlreadyComplete;
  if (ended && !this->draining) {
    const ActionKey key = this->key_issuer.IssueKey();
    response.next_key = key.ToText();
    response.next_key_lifetime = this->key_issuer.RemainingLifetime(key);
  }
}

TimePoint HomeService::DeadlineOf(const CallerRequest& request, const KindSpec& kind) const {
  return this->clock.Now() + std::min(kind.deadline, request.deadline.value_or(kind.deadline));
}

}  // namespace masticpin
