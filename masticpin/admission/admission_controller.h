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
};

}  // namespace masticpin
