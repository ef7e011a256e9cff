#include "masticpin/base/timer_queue.h"

namespace masticpin {

void TimerQueue::Schedule(TimerSubscriber& subscriber, TimePoint due) {
  this->Cancel(subscriber);
  subscriber.due = due;
  this->queue.insert(subscriber);
}

void TimerQueue::Cancel(TimerSubscriber& subscriber) {
  if (subscriber.is_linked()) {
    subscriber.unlink();
  }
}

void TimerQueue::RunDue(TimePoint now) {
  // All due subscribers are moved to a separate queue first: a subscriber may schedule itself from
  // OnTimer() for `now` or earlier and would otherwise be called in an endless loop.
  Queue due;
  while (!this->queue.empty() && this->queue.begin()->Due() <= now) {
    TimerSubscriber& subscriber = *this->queue.begin();
    subscriber.unlink();
    due.insert(subscriber);
  }
  while (!due.empty()) {
    TimerSubscriber& subscriber = *due.begin();
    subscriber.unlink();
    subscriber.OnTimer(now);
  }
}

std::optional<TimePoint> TimerQueue::NextDue() const {
  if (this->queue.empty()) {
    return std::nullopt;
  }
  return this->queue.begin()->Due();
}

}  // namespace masticpin
