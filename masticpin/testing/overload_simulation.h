#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

#include "masticpin/testing/admission_policy.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/inversion_counter.h"
#include "masticpin/testing/naive_admission.h"
#include "masticpin/testing/seeded_random.h"
#include "masticpin/testing/simulated_upstream.h"

namespace masticpin {

/// Share of the arrivals that have one importance.
struct TrafficShare {
  std::uint8_t importance;
  /// Fraction of all actions; the shares of one phase add up to 1.
  double share;
};

/// A period with constant load.
struct TrafficPhase {
  Duration length{};
  /// Actions offered per second, as a multiple of the upstream's capacity at full speed.
  double load = 0;
  std::vector<TrafficShare> shares;
  /// Factor by which the upstream's service times are multiplied.
  int slowdown = 1;
};

struct SimulationSettings {
  std::uint64_t seed = 1;
  std::uint32_t slots = 10;
  /// Ceiling of the controlled policy and fixed limit of the naive one; 0 means the number of
  /// slots.
  std::uint32_t ceiling = 0;
  Duration service_time = std::chrono::milliseconds(20);
  bool exponential = false;
  /// How long a caller waits for one try.
  Duration timeout = std::chrono::milliseconds(500);
  int retries = 10;
  /// Delay before a caller retries. Callers do not follow Retry-After unless `follows_retry_after`
  /// is set.
  Duration retry_delay = std::chrono::milliseconds(20);
  bool follows_retry_after = false;
  bool naive = false;
  /// Capacity of the naive queue. The default is 4 s of work, as in a server that queues one
  /// request for each of many connections.
  std::size_t naive_capacity = 2000;
  /// Cancel a running action of importance 0 when a more important one has to wait.
  bool cancel_running = false;
  /// Time from the cancellation until the slot is free.
  Duration cancel_time = std::chrono::milliseconds(1);
  AdmissionSettings admission;
};

/// Simulates callers, an admission policy and an upstream on a fake clock. An action is tried until
/// a try is answered before its timeout or no retry is left.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(const SimulationSettings& settings)
      : settings(settings),
        arrivals(settings.seed),
        service(settings.seed + 1),
        jitter(settings.seed + 2),
        upstream(this->clock, this->service, settings.slots, settings.service_time),
        arrival_timer([this] { this->OnArrival(); }) {
    this->upstream.SetExponential(settings.exponential);
    const std::uint32_t ceiling = settings.ceiling == 0 ? settings.slots : settings.ceiling;
    if (settings.naive) {
      this->policy = std::make_unique<NaiveAdmission>(ceiling, settings.naive_capacity);
    } else {
      AdmissionSettings admission = settings.admission;
      admission.ceiling = ceiling;
      auto controlled =
          std::make_unique<ControlledAdmission>(admission, this->clock, this->clock, this->jitter);
      this->controller = &controlled->Controller();
      this->policy = std::move(controlled);
    }
  }

  /// Lets the callers finish, so that no request is left in the policy.
  ~OverloadSimulation() {
    this->clock.Cancel(this->arrival_timer);
    this->stopped = true;
    while (this->live_tries > 0) {
      this->clock.Advance(std::chrono::seconds(1));
    }
  }

  /// Runs one phase to its end.
  void Run(const TrafficPhase& next) {
    this->phase = next;
    this->upstream.SetSlowdown(next.slowdown);
    if (next.load > 0) {
      this->ScheduleArrival();
    } else {
      this->clock.Cancel(this->arrival_timer);
    }
    this->clock.Advance(next.length);
  }

  TimePoint Now() const { return this->clock.Now(); }
  /// Actions per second that the upstream can serve at full speed.
  double Capacity() const {
    return this->settings.slots /
           std::chrono::duration<double>(this->settings.service_time).count();
  }
  std::uint32_t MaxJobCount() const { return this->upstream.MaxJobCount(); }
  std::uint64_t Inversions() const { return this->inversions.Count(); }
  std::uint64_t Cancelled() const { return this->cancelled; }
  /// The controller, or nullptr with the naive policy.
  AdmissionController* Controller() { return this->controller; }

  /// Actions of at least `importance` that arrived in [from, to).
  double Offered(TimePoint from, TimePoint to, std::uint8_t importance = 0) const {
    return this->Count(from, to, importance, [](const Action& action) { return action.arrival; });
  }

  /// Actions of at least `importance` that were answered in [from, to).
  double Answered(TimePoint from, TimePoint to, std::uint8_t importance = 0) const {
    return this->Count(from, to, importance, [](const Action& action) { return action.answered; });
  }

  /// Actions of at least `importance` that arrived in [from, to) and have been answered by now.
  double AnsweredOfArrived(TimePoint from, TimePoint to, std::uint8_t importance = 0) const {
    return this->Count(from, to, importance, [](const Action& action) {
      return action.answered == TimePoint{} ? TimePoint{} : action.arrival;
    });
  }

  /// 99th percentile, in milliseconds, of the time from arrival to response over the actions that
  /// arrived in [from, to). An action without a response counts as infinitely late.
  double P99(TimePoint from, TimePoint to, std::uint8_t importance = 0) const {
    std::vector<double> times;
    for (const Action& action : this->actions) {
      if (action.arrival >= from && action.arrival < to && action.importance >= importance) {
        times.push_back(action.answered == TimePoint{} ? std::numeric_limits<double>::infinity()
                                                       : std::chrono::duration<double, std::milli>(
                                                             action.answered - action.arrival)
                                                             .count());
      }
    }
    if (times.empty()) {
      return 0;
    }
    const std::size_t index = times.size() * 99 / 100;
    std::nth_element(times.begin(), times.begin() + index, times.end());
    return times[index];
  }

 private:
  struct Action {
    TimePoint arrival;
    /// Time of the response; the default value while there is none.
    TimePoint answered{};
    std::uint8_t importance;
    std::uint16_t rank;
    int retries_left;
  };

  /// One request of a caller. It is reused when neither the caller nor the policy needs it.
  struct Try : AdmissionRequest {
    explicit Try(OverloadSimulation& simulation)
        : simulation(simulation),
          timer([this] { this->simulation.OnCallerTimer(*this); }),
          job([this] { this->simulation.OnServed(*this); }),
          cancellation([this] { this->simulation.OnCancelled(*this); }) {}

    void OnAdmitted() override { this->simulation.OnAdmitted(*this); }
    void OnRefused(ErrorKind, Duration retry_after) override {
      this->simulation.OnRefused(*this, retry_after);
    }

    OverloadSimulation& simulation;
    Action* action = nullptr;
    FunctionTimer timer;
    SimulatedUpstream::Job job;
    FunctionTimer cancellation;
    TimePoint started{};
    /// The caller waits for the response. Otherwise it waits for its retry or has stopped waiting.
    bool caller_waits = false;
    bool awaiting_retry = false;
    bool in_policy = false;
    bool running = false;
    bool cancelling = false;
  };

  template <typename Time>
  double Count(TimePoint from, TimePoint to, std::uint8_t importance, Time time) const {
    return static_cast<double>(
        std::count_if(this->actions.begin(), this->actions.end(), [&](const Action& action) {
          return action.importance >= importance && time(action) >= from && time(action) < to;
        }));
  }

  void ScheduleArrival() {
    // Exponential gaps make a Poisson process.
    const double uniform = (static_cast<double>(this->arrivals.Next() >> 11) + 1) / 0x1p53;
    const double gap = -std::log(uniform) / (this->phase.load * this->Capacity());
    this->clock.Schedule(this->arrival_timer,
                         this->clock.Now() + std::chrono::duration_cast<Duration>(
                                                 std::chrono::duration<double>(gap)));
  }

  void OnArrival() {
    double point = static_cast<double>(this->arrivals.Next() >> 11) / 0x1p53;
    std::uint8_t importance = this->phase.shares.back().importance;
    for (const TrafficShare& share : this->phase.shares) {
      if (point < share.share) {
        importance = share.importance;
        break;
      }
      point -= share.share;
    }
    this->actions.push_back({this->clock.Now(),
                             {},
                             importance,
                             static_cast<std::uint16_t>(this->arrivals.Next()),
                             this->settings.retries});
    this->ScheduleArrival();
    this->StartTry(this->actions.back());
  }

  void StartTry(Action& action) {
    if (this->free_tries.empty()) {
      this->tries.emplace_back(*this);
      this->free_tries.push_back(&this->tries.back());
    }
    Try& caller_try = *this->free_tries.back();
    this->free_tries.pop_back();
    ++this->live_tries;
    caller_try.action = &action;
    caller_try.priority = {action.importance, action.rank};
    caller_try.deadline = this->clock.Now() + this->settings.timeout;
    caller_try.caller_waits = true;
    caller_try.in_policy = true;
    this->clock.Schedule(caller_try.timer, caller_try.deadline);
    this->policy->Offer(caller_try);
    if (this->settings.cancel_running && caller_try.in_policy && !caller_try.running) {
      this->CancelFor(caller_try);
    }
  }

  /// Recycles a try that neither the caller nor the policy needs any more.
  void Release(Try& caller_try) {
    if (!caller_try.caller_waits && !caller_try.awaiting_retry && !caller_try.in_policy) {
      this->clock.Cancel(caller_try.timer);
      this->free_tries.push_back(&caller_try);
      --this->live_tries;
    }
  }

  /// Lets the caller wait before its retry, or give up.
  void FailTry(Try& caller_try, Duration retry_after) {
    caller_try.caller_waits = false;
    this->clock.Cancel(caller_try.timer);
    if (caller_try.action->retries_left > 0 && !this->stopped) {
      const Duration delay = this->settings.follows_retry_after
                                 ? std::max(retry_after, this->settings.retry_delay)
                                 : this->settings.retry_delay;
      caller_try.awaiting_retry = true;
      this->clock.Schedule(caller_try.timer, this->clock.Now() + delay);
    }
  }

  void OnCallerTimer(Try& caller_try) {
    if (caller_try.awaiting_retry) {
      caller_try.awaiting_retry = false;
      --caller_try.action->retries_left;
      Action& action = *caller_try.action;
      this->Release(caller_try);
      if (!this->stopped) {
        this->StartTry(action);
      }
      return;
    }
    // The try has timed out.
    if (!caller_try.running && this->policy->Withdraw(caller_try)) {
      caller_try.in_policy = false;
    }
    this->FailTry(caller_try, Duration::zero());
    this->Release(caller_try);
  }

  void OnAdmitted(Try& caller_try) {
    this->inversions.OnAdmitted(this->clock.Now(), caller_try.priority.importance);
    caller_try.running = true;
    caller_try.started = this->clock.Now();
    if (this->settings.cancel_running && caller_try.priority.importance == 0) {
      this->cancellable.push_back(&caller_try);
    }
    this->upstream.Begin(caller_try.job);
  }

  void OnRefused(Try& caller_try, Duration retry_after) {
    this->inversions.OnRefused(this->clock.Now(), caller_try.priority.importance);
    caller_try.in_policy = false;
    if (caller_try.caller_waits) {
      this->FailTry(caller_try, retry_after);
    }
    this->Release(caller_try);
  }

  void OnServed(Try& caller_try) {
    if (caller_try.caller_waits) {
      caller_try.caller_waits = false;
      caller_try.action->answered = this->clock.Now();
    }
    this->EndTry(caller_try, Completion::kSuccess);
  }

  void EndTry(Try& caller_try, Completion completion) {
    std::erase(this->cancellable, &caller_try);
    this->clock.Cancel(caller_try.cancellation);
    caller_try.cancelling = false;
    caller_try.running = false;
    caller_try.in_policy = false;
    this->upstream.End(caller_try.job);
    const Duration time = this->clock.Now() - caller_try.started;
    this->policy->Complete(caller_try, completion, time);
    this->Release(caller_try);
  }

  /// Cancels one running action of importance 0 to free a slot for `waiting`.
  void CancelFor(const Try& waiting) {
    if (waiting.priority.importance == 0 || this->cancellable.empty()) {
      return;
    }
    Try& victim = *this->cancellable.back();
    this->cancellable.pop_back();
    victim.cancelling = true;
    ++this->cancelled;
    this->clock.Cancel(victim.job.end);
    this->clock.Schedule(victim.cancellation, this->clock.Now() + this->settings.cancel_time);
  }

  void OnCancelled(Try& caller_try) {
    if (caller_try.caller_waits) {
      this->FailTry(caller_try, Duration::zero());
    }
    this->EndTry(caller_try, Completion::kCancelled);
  }

  const SimulationSettings settings;
  FakeClock clock;
  SeededRandom arrivals;
  SeededRandom service;
  SeededRandom jitter;
  SimulatedUpstream upstream;
  std::unique_ptr<AdmissionPolicy> policy;
  AdmissionController* controller = nullptr;
  InversionCounter inversions;
  TrafficPhase phase;
  FunctionTimer arrival_timer;
  std::deque<Action> actions;
  std::deque<Try> tries;
  std::vector<Try*> free_tries;
  std::vector<Try*> cancellable;
  std::uint64_t live_tries = 0;
  std::uint64_t cancelled = 0;
  bool stopped = false;
};

}  // namespace masticpin
