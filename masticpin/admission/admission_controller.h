#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>

#include "masticpin/admission/admission_queue.h"
#include "masticpin/admission/admission_request.h"
#include "masticpin/admission/admission_settings.h"
#include "masticpin/admission/admission_statistics.h"
#include "masticpin/admission/completion.h"
#include "masticpin/admission/concurrency_limiter.h"
#include "masticpin/admission/recent_decisions.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/base/timer_subscriber.h"
#include "masticpin/routing/load_report.h"

namespace masticpin {

/// Decides which requests are sent to the upstream, and when. Every offered request is either
/// admitted, refused or withdrawn, exactly once. Callbacks of requests may call the controller:
/// decisions that result from such a call are delivered before the outermost call returns. Not
/// thread-safe; does not allocate.
class AdmissionController : private TimerSubscriber {
 public:
  /// `clock`, `timers` and `random` must outlive the controller. `random` adds jitter to
  /// retry-after values.
  AdmissionController(const AdmissionSettings& settings,
                      const Clock& clock,
                      TimerService& timers,
                      RandomSource& random);

  /// No request may be waiting or admitted.
  ~AdmissionController() override;

  /// Requests a slot for `request`, which must be idle. Calls its OnAdmitted() or OnRefused(),
  /// during this call or later.
  void Offer(AdmissionRequest& request);

  /// Withdraws a request that is waiting or whose OnRefused() is still to be called, for example
  /// because its caller has disconnected. Returns true if so: the request is then idle and gets no
  /// callback. Returns false, without effect, if it is idle or admitted.
  bool Withdraw(AdmissionRequest& request);

  /// Ends an admitted request and frees its slot. `service_time` is the time that it spent at the
  /// upstream; it is only used for kSuccess.
  void Complete(AdmissionRequest& request, Completion completion, Duration service_time);

  /// Changes the ceiling (at least 1). If more requests than a lower ceiling are in flight, they
  /// still run to completion.
  void SetCeiling(std::uint32_t ceiling);

  /// Refuses all waiting requests, and all requests offered from now on, with kDraining. Admitted
  /// requests run to completion.
  void Drain();

  /// Refuses all waiting requests with kDraining. Later offers are not affected.
  void RefuseWaiting();

  /// Admits no requests until `end`; they wait in the queue. An `end` that has passed ends the
  /// hold.
  void HoldUntil(TimePoint end);

  bool IsDraining() const { return this->draining; }

  /// Returns the load report for other nodes. Its limit is 0 while the upstream is unreachable.
  LoadReport GetLoad() const;

  const AdmissionStatistics& Statistics() const { return this->statistics; }

 private:
  using RefusalList =
      boost::intrusive::list<AdmissionRequest,
                             boost::intrusive::member_hook<AdmissionRequest,
                                                           boost::intrusive::list_member_hook<>,
                                                           &AdmissionRequest::refusal_hook>,
                             boost::intrusive::constant_time_size<false>>;
  using TimePerImportance = std::array<TimePoint, kMaxImportance + 1>;

  void OnTimer(TimePoint now) override;

  /// Delivers refusals, refuses requests whose queue time has expired, and admits requests while
  /// there are free slots. Nested calls return at once, so that callbacks never observe or cause a
  /// partial decision.
  void Process();
  bool CanAdmit(const AdmissionRequest& request, TimePoint now) const;
  void Admit(AdmissionRequest& request, TimePoint now);
  /// Adds a request, which must not be in the queue, to the list of refusals.
  void Refuse(AdmissionRequest& request, ErrorKind kind, TimePoint now);
  /// Refuses a request because the queue is full or its wait has ended, and starts a hold-down
  /// unless its deadline was too short from the start.
  void RefuseForLoad(AdmissionRequest& request, ErrorKind kind, TimePoint now);

  /// Computes the expiry of an idle request and adds the request to the queue.
  void Enqueue(AdmissionRequest& request, TimePoint now);
  /// Earliest time at which a request of `importance` may be refused: the hold-down after the last
  /// admission of a less important request must have passed.
  TimePoint EarliestRefusalTime(std::uint8_t importance) const;
  /// Time from which requests of `importance` may be admitted again.
  TimePoint HoldDownEnd(std::uint8_t importance) const;

  void OnConnectionFailure(TimePoint now);
  void OnConnection();
  Duration RetryAfter(ErrorKind kind, TimePoint now);
  void ScheduleTimer(TimePoint now);

  const AdmissionSettings settings;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;

  AdmissionQueue queue;
  ConcurrencyLimiter limiter;
  RecentDecisions recent;
  RefusalList refusals;
  AdmissionStatistics statistics;

  /// Times of the last refusal and of the last admission, by importance.
  TimePerImportance refused_at;
  TimePerImportance admitted_at;

  std::uint32_t in_flight = 0;
  /// No request is admitted before this time.
  TimePoint hold_end = TimePoint::min();
  bool draining = false;
  /// Whether Process() is running.
  bool processing = false;

  /// Connection failures since the last successful connection.
  std::uint32_t connection_failures = 0;
  bool unreachable = false;
  /// The request that currently probes an unreachable upstream.
  const AdmissionRequest* probe = nullptr;
  TimePoint next_probe{};

  /// Time for which the timer is scheduled; TimePoint::max() if it is not.
  TimePoint timer_due = TimePoint::max();
};

}  // namespace masticpin
