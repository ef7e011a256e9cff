#pragma once

#include <functional>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_service.h"

namespace masticpin {

/// Detects that the process did not run for a while.
class PauseDetector : public TimerSubscriber {
 public:
  /// Called with the time by which the timer is late. It is shorter than the pause by at most one
  /// timer period (100 ms).
  using Callback = std::function<void(Duration)>;

  PauseDetector(const Clock& clock, TimerService& timers, Callback callback);

  void Start();
  void OnTimer(TimePoint now) override;

  /// Checks for a pause outside the timer, before a decision: messages that queued up during the
  /// pause may be handled before the timer fires. Returns whether this call detected a pause.
  bool Check();

 private:
  bool CheckAt(TimePoint now);

  const Clock& clock;
  TimerService& timers;
  Callback callback;
  // The time at which the next timer is expected.
  TimePoint expected{};
  bool running = false;
};

}  // namespace masticpin
