#pragma once

#include <functional>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_service.h"

namespace masticpin {

struct PauseDetectorSettings {
  /// Interval of the timer whose delay shows a pause.
  Duration period = std::chrono::milliseconds(100);
  /// Minimum delay that counts as a pause. Scheduling delays on a busy machine stay well below the
  /// default; after a longer one, what the process knows of others may be out of date.
  Duration min_pause = std::chrono::seconds(1);
};

/// Detects that the process did not run for a while.
class PauseDetector : public TimerSubscriber {
 public:
  using Settings = PauseDetectorSettings;

  /// Called with the time by which the timer is late. It is shorter than the pause by at most one
  /// timer period.
  using Callback = std::function<void(Duration)>;

  PauseDetector(const Clock& clock,
                TimerService& timers,
                Callback callback,
                Settings settings = {});

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
  const Settings settings;
  // The time at which the next timer is expected.
  TimePoint expected{};
  bool running = false;
};

}  // namespace masticpin
