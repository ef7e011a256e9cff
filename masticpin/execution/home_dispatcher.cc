#include "masticpin/execution/home_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "masticpin/attempts/grant_policy.h"
#include "masticpin/attempts/retry_policy.h"
#include "masticpin/error/error_info.h"

namespace masticpin {

/// One started entry and its outstanding execution.
class HomeDispatcher::Pending : public TimerSubscriber {
 public:
  Pending(HomeDispatcher& dispatcher, Ref<LedgerEntry> entry)
      : entry(std::move(entry)), dispatcher(dispatcher) {}

  void OnTimer(TimePoint now) override {
    // This object is destroyed by the call.
    this->dispatcher.OnTimeout(this->request.key().sequence(), now);
  }

  const Ref<LedgerEntry> entry;
  Priority priority;
  TimePoint deadline;
  Duration expected_time{};
  wire::ExecuteRequest request;
  InstanceId executor;
  AttemptGrant grant;
  std::uint32_t sent = 0;
  std::uint32_t attempts_used = 0;
  // Names of the instances that were tried.
  std::vector<std::string> tried;
  // Why the last dispatch failed.
  std::optional<ActionResult> failure;

 private:
  HomeDispatcher& dispatcher;
};

HomeDispatcher::HomeDispatcher(const DispatchSettings& settings,
                               std::uint64_t home_incarnation,
                               const Clock& clock,
                               TimerService& timers,
                               ExecutionSender& sender,
                               InstanceChooser& chooser,
                               SenderRetryBudget& retry_budget,
                               DispatchObserver& observer)
    : settings(settings),
      home_incarnation(home_incarnation),
      clock(clock),
      timers(timers),
      sender(sender),
      chooser(chooser),
      retry_budget(retry_budget),
      observer(observer) {}

HomeDispatcher::~HomeDispatcher() = default;

void HomeDispatcher::Dispatch(Ref<LedgerEntry> entry, DispatchRequest dispatch_request) {
  assert(entry->Running());
  auto pending = std::make_unique<Pending>(*this, std::move(entry));
  pending->priority = dispatch_request.priority;
  pending->deadline = dispatch_request.deadline;
  pending->expected_time = dispatch_request.expected_time;
  wire::ExecuteRequest& request = pending->request;
  request.set_service(std::move(dispatch_request.service));
  request.set_kind(std::move(dispatch_request.kind));
  request.set_importance(dispatch_request.priority.importance);
  request.set_rank(dispatch_request.priority.rank);
  request.set_traceparent(std::move(dispatch_request.traceparent));
  request.set_action(std::move(dispatch_request.action));
  *request.mutable_request() = std::move(dispatch_request.request);
  this->retry_budget.OnFirstAttempt();
  this->Send(std::move(pending));
}

void HomeDispatcher::Send(std::unique_ptr<Pending> pending) {
  const TimePoint now = this->clock.Now();
  LedgerEntry& entry = *pending->entry;
  if (now >= pending->deadline) {
    this->End(std::move(pending), ActionResult::Failed(ErrorKind::kExpiredBeforeStart));
    return;
  }

  // Choose the executor. If no other instance is left, the previous failure is the result.
  const auto target =
      this->chooser.Choose(pending->request.service(), pending->tried, pending->priority);
  if (!target.has_value()) {
    ActionResult result = pending->failure.value_or(this->chooser.LastRefusal());
    this->End(std::move(pending), std::move(result));
    return;
  }

  // Take the grant.
  AttemptBudget& budget = entry.Budget();
  pending->grant = budget.Take(GrantPolicy::Decide(budget.Held(), entry.Cost()));
  if (pending->grant.Count() == 0) {
    this->End(std::move(pending), ActionResult::Failed(ErrorKind::kAttemptsExhausted));
    return;
  }

  pending->tried.push_back(target->instance.name);
  const Duration reply_timeout = this->ReplyTimeout(*pending, now);

  // Send the request with a new execution key.
  const std::uint64_t sequence = this->next_sequence++;
  wire::ExecuteRequest& request = pending->request;
  wire::ExecutionKey& key = *request.mutable_key();
  key.set_home_incarnation(this->home_incarnation);
  key.set_sequence(sequence);
  key.set_executor_incarnation(target->instance.incarnation);
  key.set_executor_epoch(target->epoch);
  request.set_attempts(pending->grant.Count());
  request.set_remaining_us(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(reply_timeout).count()));
  pending->executor = target->instance;
  ++pending->sent;
  ++this->counts.sent;
  this->timers.Schedule(*pending, now + reply_timeout);
  const Pending& outstanding = *pending;
  this->dispatches.emplace(sequence, std::move(pending));
  this->sender.SendExecute(outstanding.executor, outstanding.request);
}

void HomeDispatcher::OnReply(const InstanceId& from, wire::ExecuteReply reply) {
  // A reply contains the key of its execution and comes from the addressed process or from its
  // successor, which can only refuse.
  const auto error_number = static_cast<int>(reply.error());
  const bool wrong_incarnation = error_number == static_cast<int>(ErrorKind::kWrongIncarnation);
  const auto found = this->dispatches.find(reply.key().sequence());
  if (found == this->dispatches.end() ||
      (found->second->executor != from &&
       (!wrong_incarnation || found->second->executor.name != from.name)) ||
      reply.key().home_incarnation() != this->home_incarnation ||
      reply.key().executor_incarnation() != found->second->executor.incarnation) {
    ++this->counts.dropped_replies;
    return;
  }
  std::unique_ptr<Pending> pending = this->Remove(reply.key().sequence());
  AttemptBudget& budget = pending->entry->Budget();

  // The addressed process has ended. Its successor cannot know whether an earlier copy of the
  // message arrived in time and ran, so the outcome is unknown, although the successor refused its
  // copy.
  if (wrong_incarnation) {
    SpendGrant(*pending);
    this->OnFailure(std::move(pending), ActionResult::Failed(ErrorKind::kPeerLost));
    return;
  }

  // Complete.
  if (reply.error() == 0 && reply.has_response()) {
    pending->attempts_used += std::min(reply.attempts_used(), pending->grant.Count());
    budget.Return(pending->grant, reply.attempts_used());
    this->End(std::move(pending), ActionResult::Complete(Ref<const StoredResponse>(
                                      new StoredResponse(std::move(*reply.mutable_response())))));
    return;
  }

  // Failed. Errors that an executor must not report count as an unknown outcome.
  ErrorKind error = ErrorKind::kInternal;
  if (error_number > 0 && error_number <= kLastErrorKind &&
      error_number != static_cast<int>(ErrorKind::kAlreadyComplete)) {
    error = static_cast<ErrorKind>(error_number);
  }
  const std::uint32_t used = std::min(reply.attempts_used(), pending->grant.Count());
  pending->attempts_used += used;
  budget.Return(pending->grant, used);
  this->OnFailure(std::move(pending),
                  ActionResult::Failed(error, std::chrono::milliseconds(reply.retry_after_ms())));
}

void HomeDispatcher::OnPeerLost(const InstanceId& instance) {
  std::vector<std::uint64_t> lost;
  for (const auto& [sequence, pending] : this->dispatches) {
    if (pending->executor == instance) {
      lost.push_back(sequence);
    }
  }
  // Sorted, so that the iteration order of the hash table does not decide which dispatch gets the
  // last retry.
  std::sort(lost.begin(), lost.end());
  for (const std::uint64_t sequence : lost) {
    if (std::unique_ptr<Pending> pending = this->Remove(sequence)) {
      SpendGrant(*pending);
      this->OnFailure(std::move(pending), ActionResult::Failed(ErrorKind::kPeerLost));
    }
  }
}

void HomeDispatcher::Cancel(LedgerEntry& entry) {
  const auto found =
      std::find_if(this->dispatches.begin(), this->dispatches.end(),
                   [&entry](const auto& item) { return item.second->entry.get() == &entry; });
  if (found == this->dispatches.end()) {
    return;
  }
  std::unique_ptr<Pending> pending = this->Remove(found->first);
  this->SendCancel(*pending);
  SpendGrant(*pending);
  pending->entry->RecordUnknownOutcome(ErrorKind::kCancelled);
  this->End(std::move(pending), ActionResult::Failed(ErrorKind::kCancelled));
}

Duration HomeDispatcher::ReplyTimeout(const Pending& pending, TimePoint now) {
  // If an idempotent request can be retried, wait for its reply only half of the remaining time and
  // keep the other half for the retry. This requires that the expected duration is known and
  // shorter than that half, and another instance: otherwise the upstream may still be at work.
  const Duration remaining = pending.deadline - now;
  LedgerEntry& entry = *pending.entry;
  const bool may_retry =
      entry.Idempotent() && pending.sent < this->settings.max_retries &&
      entry.Budget().Held() >= entry.Cost() && pending.expected_time > Duration::zero() &&
      remaining / 2 > pending.expected_time &&
      this->chooser.Choose(pending.request.service(), pending.tried, pending.priority).has_value();
  return may_retry ? remaining / 2 : remaining;
}

void HomeDispatcher::OnTimeout(std::uint64_t sequence, TimePoint now) {
  std::unique_ptr<Pending> pending = this->Remove(sequence);
  if (!pending) {
    return;
  }
  ++this->counts.timeouts;
  this->SendCancel(*pending);
  SpendGrant(*pending);
  const ErrorKind error =
      now < pending->deadline ? ErrorKind::kPeerLost : ErrorKind::kDeadlineExceeded;
  this->OnFailure(std::move(pending), ActionResult::Failed(error));
}

void HomeDispatcher::OnFailure(std::unique_ptr<Pending> pending, const ActionResult& failure) {
  LedgerEntry& entry = *pending->entry;
  const ErrorKind error = *failure.error;
  if (!IsNotRun(error)) {
    entry.RecordUnknownOutcome(error);
  }
  const RetryContext context{.error = error,
                             .idempotent = entry.Idempotent(),
                             .attempts_left = entry.Budget().Held(),
                             .cost = entry.Cost(),
                             .time_left = pending->deadline - this->clock.Now(),
                             .expected_time = pending->expected_time};
  if (pending->sent > this->settings.max_retries ||
      RetryPolicy::Decide(context, this->retry_budget) == RetryDecision::kGiveUp) {
    this->End(std::move(pending), failure);
    return;
  }
  pending->failure = failure;
  ++this->counts.retries;
  this->Send(std::move(pending));
}

void HomeDispatcher::End(std::unique_ptr<Pending> pending, ActionResult result) {
  if (result.error.has_value()) {
    result.error = pending->entry->ErrorToReport(*result.error);
  }
  this->observer.OnDispatched(*pending->entry, result, pending->attempts_used);
}

std::unique_ptr<HomeDispatcher::Pending> HomeDispatcher::Remove(std::uint64_t sequence) {
  const auto found = this->dispatches.find(sequence);
  if (found == this->dispatches.end()) {
    return nullptr;
  }
  std::unique_ptr<Pending> pending = std::move(found->second);
  this->dispatches.erase(found);
  this->timers.Cancel(*pending);
  return pending;
}

void HomeDispatcher::SpendGrant(Pending& pending) {
  pending.attempts_used += pending.grant.Count();
  pending.entry->Budget().Return(pending.grant, pending.grant.Count());
}

void HomeDispatcher::SendCancel(const Pending& pending) {
  wire::CancelRequest cancel;
  *cancel.mutable_key() = pending.request.key();
  this->sender.SendCancel(pending.executor, cancel);
}

}  // namespace masticpin
