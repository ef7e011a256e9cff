#pragma once

#include <boost/intrusive/set_hook.hpp>

#include "masticpin/base/time.h"

namespace masticpin {

/// A part that is called back by a timer service. It leaves the service when it is destroyed.
class TimerSubscriber : public boost::intrusive::set_base_hook<
                            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  TimerSubscriber() = default;
  TimerSubscriber(const TimerSubscriber&) = delete;
  TimerSubscriber& operator=(const TimerSubscriber&) = delete;
  virtual ~TimerSubscriber() = default;

  /// Called once for each Schedule(). `now` may be later than the time asked for. A periodic part
  /// schedules itself again from `now`, so that a paused process does not fire a burst of timers.
  virtual void OnTimer(TimePoint now) = 0;

  /// The time for which this subscriber is scheduled; meaningless while it is not.
  TimePoint Due() const { return this->due; }

 private:
  friend class TimerQueue;

  TimePoint due{};
};

}  // namespace masticpin
