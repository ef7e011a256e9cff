#pragma once

#include "masticpin/base/timer_subscriber.h"

namespace masticpin {

/// Calls subscribers back at or after a point in time.
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// Schedules one call of `subscriber`. A subscriber that is already scheduled is moved to `due`.
  virtual void Schedule(TimerSubscriber& subscriber, TimePoint due) = 0;

  /// Removes `subscriber`; does nothing if it is not scheduled.
  virtual void Cancel(TimerSubscriber& subscriber) = 0;
};

}  // namespace masticpin
