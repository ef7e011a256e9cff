#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"
#include "masticpin/base/timer_service.h"

namespace masticpin {

/// Timer service that runs all subscribers of an event loop on a single timer of the loop.
class LoopTimerService : public TimerService {
 public:
  /// `loop` and `clock` must outlive the service.
  LoopTimerService(boost::asio::io_context& loop, const Clock& clock);

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

 private:
  /// Sets the event loop's timer to the earliest due time, if the timer is set to a later one.
  void Arm();

  const Clock& clock;
  boost::asio::steady_timer timer;
  TimerQueue queue;
  TimePoint armed_for = TimePoint::max();
};

}  // namespace masticpin
