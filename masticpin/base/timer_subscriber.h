#pragma once

#include <boost/intrusive/set_hook.hpp>

#include "masticpin/base/time.h"

namespace masticpin {

/// Base class of objects that a timer service calls back. The destructor cancels a scheduled call.
class TimerSubscriber : public boost::intrusive::set_base_hook<
                            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  TimerSubscriber() = default;
  TimerSubscriber(const TimerSubscriber&) = delete;
  TimerSubscriber& operator=(const TimerSubscriber&) = delete;
  virtual ~TimerSubscriber() = default;

  /// Called once at or after the scheduled time; the subscriber is then no longer scheduled. `now`
  /// may be later than the scheduled time. A periodic subscriber schedules its next call relative
  /// to `now`, so that its timer does not fire in a burst after a pause of the process.
  virtual void OnTimer(TimePoint now) = 0;

  /// The time for which this subscriber is scheduled; meaningless if it is not scheduled.
  TimePoint Due() const { return this->due; }

 private:
  friend class TimerQueue;

  TimePoint due{};
};

}  // namespace masticpin
