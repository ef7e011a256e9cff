#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"
#include "masticpin/base/timer_service.h"

namespace masticpin {

/// Timer service of an event loop: one timer of the loop serves all subscribers.
class LoopTimerService : public TimerService {
 public:
  /// `loop` and `clock` must outlive the service.
  LoopTimerService(boost::asio::io_context& loop, const Clock& clock);

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

 private:
  /// Sets the timer of the loop to the earliest subscriber if it is set to a later time.
  void Arm();

  const Clock& clock;
  boost::asio::steady_timer timer;
  TimerQueue queue;
  TimePoint armed_for = TimePoint::max();
};

}  // namespace masticpin
