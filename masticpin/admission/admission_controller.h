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

/// Decides which requests the upstream gets, and when. Every offered request ends in exactly one of
/// admitted, refused and withdrawn. Callbacks of requests may call the controller: decisions that
/// such a call causes are delivered before the outermost call returns. Not thread-safe; allocates
/// nothing.
class AdmissionController : private TimerSubscriber {
 public:
  /// `clock`, `timers` and `random` must outlive the controller. `random` spreads retry-after
  /// values.
  AdmissionController(const AdmissionSettings& settings,
                      const Clock& clock,
                      TimerService& timers,
                      RandomSource& random);

  /// All requests must have ended.
  ~AdmissionController() override;

  /// Asks for a slot for `request`, which must be idle. Calls its OnAdmitted() or OnRefused() at
  /// once or later.
  void Offer(AdmissionRequest& request);

  /// The caller of a waiting request is gone. Returns true if the request was waiting: it is idle
  /// then and gets no callback. Returns false, without effect, if it is idle or admitted.
  bool Withdraw(AdmissionRequest& request);

  /// Ends an admitted request. `service_time` is the time it spent at the upstream; only that of
  /// kSuccess is used.
  void Complete(AdmissionRequest& request, Completion completion, Duration service_time);

  /// Changes the ceiling (at least 1). Requests in flight above a lower ceiling run to their end.
  void SetCeiling(std::uint32_t ceiling);

  /// Refuses all waiting requests and from now on all offered ones with kDraining. Admitted ones
  /// run to their end.
  void Drain();

  bool IsDraining() const { return this->draining; }

  /// Load for other nodes. The limit is 0 while the upstream is unreachable.
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

  /// Delivers refusals, removes what has waited too long, and admits while there are slots. Only
  /// the outermost call does anything, so that callbacks see and cause no half-made decision.
  void Process();
  bool CanAdmit(const AdmissionRequest& request, TimePoint now) const;
  void Admit(AdmissionRequest& request, TimePoint now);
  /// Puts a request that is in no queue on the refusal list.
  void Refuse(AdmissionRequest& request, ErrorKind kind, TimePoint now);
  /// Refuses a request for lack of capacity, and starts a hold-down.
  void RefuseForLoad(AdmissionRequest& request, ErrorKind kind, TimePoint now);

  /// Adds an idle request to the queue with its expiry.
  void Enqueue(AdmissionRequest& request, TimePoint now);
  /// Earliest time at which a refusal of `importance` follows no less important admission by less
  /// than the hold-down.
  TimePoint EarliestRefusalTime(std::uint8_t importance) const;
  /// Time from which `importance` may be admitted again.
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

  /// Time of the last refusal and of the last admission for each importance.
  TimePerImportance refused_at;
  TimePerImportance admitted_at;

  std::uint32_t in_flight = 0;
  bool draining = false;
  /// A call of Process() is running.
  bool processing = false;

  /// Connection failures since the last connection.
  std::uint32_t connection_failures = 0;
  bool unreachable = false;
  /// The request that tests an unreachable upstream.
  const AdmissionRequest* probe = nullptr;
  TimePoint next_probe{};

  /// Time for which the timer is scheduled; TimePoint::max() if it is not.
  TimePoint timer_due = TimePoint::max();
};

}  // namespace masticpin
