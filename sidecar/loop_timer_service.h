#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"
#include "masticpin/base/timer_service.h"

namespace masticpin {

/// Timer service that runs all subscribers of an event loop on a single timer of the loop. After a
/// delay of the loop, subscribers run once what has arrived meanwhile was handled: many of them
/// conclude from the time that something has not arrived.
class LoopTimerService : public TimerService {
 public:
  /// `loop` and `clock` must outlive the service.
  LoopTimerService(boost::asio::io_context& loop, const Clock& clock);

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

 private:
  /// Sets the event loop's timer to the earliest due time, if the timer is set to a later one.
  void Arm();
  /// Runs the due subscribers after `passes` further passes of the event loop.
  void RunDueAfter(int passes);

  const Clock& clock;
  boost::asio::io_context& loop;
  boost::asio::steady_timer timer;
  TimerQueue queue;
  TimePoint armed_for = TimePoint::max();
};

}  // namespace masticpin
