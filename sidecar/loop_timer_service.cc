#include "sidecar/loop_timer_service.h"

namespace masticpin {

LoopTimerService::LoopTimerService(boost::asio::io_context& loop, const Clock& clock)
    : clock(clock), timer(loop) {}

void LoopTimerService::Schedule(TimerSubscriber& subscriber, TimePoint due) {
  this->queue.Schedule(subscriber, due);
  this->Arm();
}

void LoopTimerService::Cancel(TimerSubscriber& subscriber) {
  // The event loop's timer stays set: an expiry with nothing due is cheaper than rescheduling the
  // timer for each request that ends before its deadline.
  this->queue.Cancel(subscriber);
}

void LoopTimerService::Arm() {
  const std::optional<TimePoint> due = this->queue.NextDue();
  if (!due || *due >= this->armed_for) {
    return;
  }
  this->armed_for = *due;
  this->timer.expires_at(*due);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;  // The timer was rescheduled, or the event loop is stopping.
    }
    this->armed_for = TimePoint::max();
    this->queue.RunDue(this->clock.Now());
    this->Arm();
  });
}

}  // namespace masticpin
