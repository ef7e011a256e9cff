#include "sidecar/loop_timer_service.h"

#include <boost/asio/post.hpp>

namespace masticpin {
namespace {

/// A timer that is later than this shows that the event loop was delayed. A process whose processor
/// allotment is used up is delayed by up to 0.1 s in normal operation.
constexpr Duration kMaxNormalDelay = std::chrono::milliseconds(150);

/// Passes of the event loop that handle what has arrived during a delay. One pass handles up to 128
/// sockets; a node of a large fleet has about a thousand.
constexpr int kPassesAfterDelay = 8;

}  // namespace

LoopTimerService::LoopTimerService(boost::asio::io_context& loop, const Clock& clock)
    : clock(clock), loop(loop), timer(loop) {}

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
    const Duration delay = this->clock.Now() - this->armed_for;
    this->RunDueAfter(delay > kMaxNormalDelay ? kPassesAfterDelay : 0);
  });
}

void LoopTimerService::RunDueAfter(int passes) {
  if (passes > 0) {
    boost::asio::post(this->loop, [this, passes] { this->RunDueAfter(passes - 1); });
    return;
  }
  this->armed_for = TimePoint::max();
  this->queue.RunDue(this->clock.Now());
  this->Arm();
}

}  // namespace masticpin
