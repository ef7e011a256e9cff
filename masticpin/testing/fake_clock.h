#pragma once

#include <algorithm>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"

namespace masticpin {

/// Clock and timer service whose time advances only when a test advances it.
class FakeClock : public Clock, public TimerQueue {
 public:
  TimePoint Now() const override { return this->now; }

  /// Moves the time forward and runs each timer at its own due time.
  void Advance(Duration by) {
    const TimePoint end = this->now + by;
    while (this->NextDue().has_value() && *this->NextDue() <= end) {
      this->now = std::max(this->now, *this->NextDue());
      this->RunDue(this->now);
    }
    this->now = end;
  }

  /// Moves the time forward without running timers, as when a resumed process handles a message
  /// before its timers.
  void Jump(Duration by) { this->now += by; }

  /// Moves the time forward as a paused process sees it: timers run late, all at the end.
  void Pause(Duration by) {
    this->now += by;
    this->RunDue(this->now);
  }

 private:
  TimePoint now{std::chrono::seconds(1)};
};

}  // namespace masticpin
