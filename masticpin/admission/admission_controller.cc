#include "masticpin/admission/admission_controller.h"

#include <algorithm>
#include <cassert>

namespace masticpin {

namespace {

/// Earlier than any time that a clock returns, and far enough from the minimum to add durations
/// without overflow.
constexpr TimePoint kDistantPast{Duration::min() / 2};

AdmissionSettings WithWaitBoundAboveHoldDown(AdmissionSettings settings) {
  settings.queue_wait_bound = std::max(settings.queue_wait_bound, settings.hold_down);
  return settings;
}

}  // namespace

AdmissionController::AdmissionController(const AdmissionSettings& settings,
                                         const Clock& clock,
                                         TimerService& timers,
                                         RandomSource& random)
    : settings(WithWaitBoundAboveHoldDown(settings)),
      clock(clock),
      timers(timers),
      random(random),
      limiter(settings.limiter, settings.ceiling),
      recent(settings.hold_down) {
  assert(settings.queue_capacity >= 1);
  this->refused_at.fill(kDistantPast);
  this->admitted_at.fill(kDistantPast);
}

AdmissionController::~AdmissionController() {
  assert(this->in_flight == 0 && this->queue.IsEmpty() && this->refusals.empty());
  this->timers.Cancel(*this);
}

void AdmissionController::Offer(AdmissionRequest& request) {
  assert(request.state == AdmissionRequest::State::kIdle);
  assert(request.priority.importance <= kMaxImportance);
  const TimePoint now = this->clock.Now();
  ++this->statistics.offered;

  if (this->draining) {
    this->Refuse(request, ErrorKind::kDraining, now);
  } else if (request.deadline <= now) {
    // More capacity would not have helped this request, so its refusal starts no hold-down.
    this->Refuse(request, ErrorKind::kExpiredBeforeStart, now);
  } else {
    request.deadline_too_short = request.deadline - now < this->limiter.ShortestServiceTime();
    // If the queue is full, the least important request is refused; that may be the new one.
    if (this->queue.Size() >= this->settings.queue_capacity) {
      ++this->statistics.evicted;
      AdmissionRequest& worst = this->queue.LowestPriority();
      if (request.priority <= worst.priority) {
        this->RefuseForLoad(request, ErrorKind::kOverloaded, now);
        this->Process();
        return;
      }
      this->queue.Remove(worst);
      this->RefuseForLoad(worst, ErrorKind::kOverloaded, now);
    }
    this->Enqueue(request, now);
  }
  this->Process();
}

bool AdmissionController::Withdraw(AdmissionRequest& request) {
  switch (request.state) {
    case AdmissionRequest::State::kIdle:
    case AdmissionRequest::State::kAdmitted:
      return false;
    case AdmissionRequest::State::kWaiting:
      this->queue.Remove(request);
      break;
    case AdmissionRequest::State::kRefusing:
      this->refusals.erase(this->refusals.iterator_to(request));
      break;
  }
  request.state = AdmissionRequest::State::kIdle;
  ++this->statistics.withdrawn;
  // The next request in the queue may be admissible now.
  this->Process();
  return true;
}

void AdmissionController::Complete(AdmissionRequest& request,
                                   Completion completion,
                                   Duration service_time) {
  assert(request.state == AdmissionRequest::State::kAdmitted);
  assert(this->in_flight > 0);
  const TimePoint now = this->clock.Now();
  request.state = AdmissionRequest::State::kIdle;
  if (this->probe == &request) {
    this->probe = nullptr;
  }

  switch (completion) {
    case Completion::kSuccess:
      ++this->statistics.succeeded;
      this->OnConnection();
      this->limiter.OnSuccess(now, service_time, this->in_flight);
      break;
    case Completion::kShed:
      ++this->statistics.shed;
      this->OnConnection();
      this->limiter.OnShed(now);
      break;
    case Completion::kFailed:
      ++this->statistics.failed;
      this->OnConnection();
      break;
    case Completion::kUnreachable:
      ++this->statistics.unreachable;
      this->OnConnectionFailure(now);
      break;
    case Completion::kCancelled:
      ++this->statistics.cancelled;
      break;
  }
  --this->in_flight;
  this->Process();
}

void AdmissionController::SetCeiling(std::uint32_t ceiling) {
  this->limiter.SetCeiling(ceiling);
  this->Process();
}

void AdmissionController::Drain() {
  this->draining = true;
  this->RefuseWaiting();
}

void AdmissionController::RefuseWaiting() {
  const TimePoint now = this->clock.Now();
  while (!this->queue.IsEmpty()) {
    AdmissionRequest& request = this->queue.HighestPriority();
    this->queue.Remove(request);
    this->Refuse(request, ErrorKind::kDraining, now);
  }
  this->Process();
}

void AdmissionController::HoldUntil(TimePoint end) {
  this->hold_end = end;
  this->Process();
}

LoadReport AdmissionController::GetLoad() const {
  const TimePoint now = this->clock.Now();
  LoadReport report;
  report.limit = this->unreachable ? 0 : this->limiter.Limit();
  report.in_flight = this->in_flight;
  report.queued = static_cast<std::uint32_t>(this->queue.Size());
  report.threshold = this->recent.Threshold(now);
  // During a hold-down, no less important request is admitted, even if recent admissions had a
  // lower importance.
  for (std::uint8_t importance = kMaxImportance; importance > 0; --importance) {
    if (this->refused_at[importance] + this->settings.hold_down > now) {
      report.threshold = std::max(report.threshold, Priority{importance, 0}.Packed());
      break;
    }
  }
  return report;
}

void AdmissionController::OnTimer(TimePoint) {
  this->timer_due = TimePoint::max();
  this->Process();
}

void AdmissionController::Process() {
  if (this->processing) {
    return;
  }
  this->processing = true;
  // Each iteration completes one decision before it calls back, because the callback may change any
  // state.
  while (true) {
    if (!this->refusals.empty()) {
      AdmissionRequest& request = this->refusals.front();
      this->refusals.pop_front();
      request.state = AdmissionRequest::State::kIdle;
      request.OnRefused(request.refusal, request.retry_after);
      continue;
    }
    if (this->queue.IsEmpty()) {
      break;
    }
    const TimePoint now = this->clock.Now();
    AdmissionRequest& earliest = this->queue.EarliestExpiry();
    if (earliest.expiry <= now) {
      this->queue.Remove(earliest);
      this->RefuseForLoad(earliest, earliest.expiry_kind, now);
      continue;
    }
    AdmissionRequest& best = this->queue.HighestPriority();
    if (!this->CanAdmit(best, now)) {
      this->ScheduleTimer(now);
      break;
    }
    this->Admit(best, now);
  }
  this->processing = false;
}

bool AdmissionController::CanAdmit(const AdmissionRequest& request, TimePoint now) const {
  if (this->in_flight >= this->limiter.Limit() || now < this->hold_end) {
    return false;
  }
  if (this->unreachable && (this->probe != nullptr || now < this->next_probe)) {
    return false;
  }
  return this->HoldDownEnd(request.priority.importance) <= now;
}

void AdmissionController::Admit(AdmissionRequest& request, TimePoint now) {
  this->queue.Remove(request);
  request.state = AdmissionRequest::State::kAdmitted;
  ++this->in_flight;
  ++this->statistics.admitted;
  this->admitted_at[request.priority.importance] = now;
  this->recent.OnAdmitted(now, request.priority.Packed());
  if (this->unreachable) {
    this->probe = &request;
    this->next_probe = now + this->settings.unreachable_probe_interval;
  }
  request.OnAdmitted();
}

void AdmissionController::Refuse(AdmissionRequest& request, ErrorKind kind, TimePoint now) {
  switch (kind) {
    case ErrorKind::kOverloaded:
      ++this->statistics.refused_overloaded;
      break;
    case ErrorKind::kExpiredBeforeStart:
      ++this->statistics.refused_expired;
      break;
    case ErrorKind::kUpstreamUnreachable:
      ++this->statistics.refused_unreachable;
      break;
    default:
      assert(kind == ErrorKind::kDraining);
      ++this->statistics.refused_draining;
      break;
  }
  request.state = AdmissionRequest::State::kRefusing;
  request.refusal = kind;
  request.retry_after = this->RetryAfter(kind, now);
  this->refusals.push_back(request);
}

void AdmissionController::RefuseForLoad(AdmissionRequest& request, ErrorKind kind, TimePoint now) {
  // A request that could not have finished in time at any capacity starts no hold-down: otherwise
  // one caller with a deadline that is too short would block all less important requests.
  if (!request.deadline_too_short) {
    this->refused_at[request.priority.importance] = now;
    this->recent.OnRefused(now);
  }
  this->Refuse(request, kind, now);
}

void AdmissionController::Enqueue(AdmissionRequest& request, TimePoint now) {
  // The expected service time is capped at half of the remaining time: after a slow period an
  // outdated estimate would otherwise refuse every request, and no completion could correct it.
  const Duration remaining = request.deadline - now;
  const Duration useful = remaining - std::min(this->limiter.ExpectedServiceTime(), remaining / 2);
  const Duration bound = request.wait_bound == Duration::zero()
                             ? this->settings.queue_wait_bound
                             : std::max(request.wait_bound, this->settings.hold_down);
  TimePoint expiry = now + std::min(useful, bound);
  request.expiry_kind = useful < bound ? ErrorKind::kExpiredBeforeStart : ErrorKind::kOverloaded;
  if (this->unreachable && !this->CanAdmit(request, now)) {
    // Refuse it as soon as the hold-down after less important admissions has passed. A request that
    // could be the probe now keeps its expiry, so that it is not refused before Process() chooses
    // the probe.
    expiry = std::min(expiry, this->EarliestRefusalTime(request.priority.importance));
    request.expiry_kind = ErrorKind::kUpstreamUnreachable;
  }
  request.state = AdmissionRequest::State::kWaiting;
  this->queue.Insert(request, expiry);
}

TimePoint AdmissionController::EarliestRefusalTime(std::uint8_t importance) const {
  TimePoint earliest = kDistantPast;
  for (std::uint8_t lower = 0; lower < importance; ++lower) {
    earliest = std::max(earliest, this->admitted_at[lower] + this->settings.hold_down);
  }
  return earliest;
}

TimePoint AdmissionController::HoldDownEnd(std::uint8_t importance) const {
  TimePoint end = kDistantPast;
  for (std::uint8_t higher = kMaxImportance; higher > importance; --higher) {
    end = std::max(end, this->refused_at[higher] + this->settings.hold_down);
  }
  return end;
}

void AdmissionController::OnConnectionFailure(TimePoint now) {
  ++this->connection_failures;
  if (this->unreachable || this->connection_failures < this->settings.unreachable_failure_count) {
    return;
  }
  this->unreachable = true;
  this->next_probe = now + this->settings.unreachable_probe_interval;
  // Shorten the wait of all waiting requests. They are moved to a second queue, because a change of
  // the expiry changes the order.
  AdmissionQueue shortened;
  while (!this->queue.IsEmpty()) {
    AdmissionRequest& request = this->queue.HighestPriority();
    this->queue.Remove(request);
    request.expiry_kind = ErrorKind::kUpstreamUnreachable;
    shortened.Insert(
        request, std::min(request.expiry, this->EarliestRefusalTime(request.priority.importance)));
  }
  this->queue.Swap(shortened);
}

void AdmissionController::OnConnection() {
  this->connection_failures = 0;
  if (this->unreachable) {
    this->unreachable = false;
    this->limiter.Restart();
  }
}

Duration AdmissionController::RetryAfter(ErrorKind kind, TimePoint now) {
  if (kind == ErrorKind::kDraining || kind == ErrorKind::kExpiredBeforeStart) {
    return Duration::zero();
  }
  const double factor = std::max(this->recent.RefusalRatio(now), 1.0);
  const Duration base = this->settings.retry_after_base;
  const Duration delay = factor * base < this->settings.retry_after_bound
                             ? std::chrono::duration_cast<Duration>(factor * base)
                             : this->settings.retry_after_bound;
  // Uniformly distributed between 0.5 and 1.5 times the delay, so that refused callers do not retry
  // at the same time.
  return delay / 2 +
         Duration(this->random.NextBelow(static_cast<std::uint64_t>(delay.count()) + 1));
}

void AdmissionController::ScheduleTimer(TimePoint now) {
  // A timer that fires too early only causes one call without effect, so it is never moved to a
  // later time.
  AdmissionRequest& best = this->queue.HighestPriority();
  TimePoint due = this->queue.EarliestExpiry().expiry;
  const TimePoint hold_down_end = this->HoldDownEnd(best.priority.importance);
  if (hold_down_end > now) {
    due = std::min(due, hold_down_end);
  }
  if (this->hold_end > now) {
    due = std::min(due, this->hold_end);
  }
  if (this->unreachable && this->next_probe > now) {
    due = std::min(due, this->next_probe);
  }
  if (due < this->timer_due) {
    this->timer_due = due;
    this->timers.Schedule(*this, due);
  }
}

}  // namespace masticpin
