#include "masticpin/base/timer_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace masticpin {
namespace {

using std::chrono::milliseconds;

class Recorder : public TimerSubscriber {
 public:
  void OnTimer(TimePoint now) override {
    this->calls.push_back(now);
    if (this->period > Duration::zero()) {
      this->service->Schedule(*this, now + this->period);
    }
  }

  std::vector<TimePoint> calls;
  TimerService* service = nullptr;
  Duration period{};
};

// Guards against a periodic timer that fires once for every period missed while the process was
// paused.
TEST(TimerQueueTest, PeriodicTimerFiresOnceAfterPause) {
  TimerQueue queue;
  Recorder recorder;
  recorder.service = &queue;
  recorder.period = milliseconds(100);
  queue.Schedule(recorder, TimePoint(milliseconds(100)));

  queue.RunDue(TimePoint(milliseconds(5000)));

  EXPECT_EQ(recorder.calls.size(), 1U);
  EXPECT_EQ(queue.NextDue(), TimePoint(milliseconds(5100)));
}

// Guards against a call to a subscriber that was destroyed while it was scheduled.
TEST(TimerQueueTest, DestroyedSubscriberIsNotCalled) {
  TimerQueue queue;
  {
    Recorder recorder;
    queue.Schedule(recorder, TimePoint(milliseconds(1)));
  }
  queue.RunDue(TimePoint(milliseconds(2)));
  EXPECT_FALSE(queue.NextDue().has_value());
}

// Guards against a rescheduled subscriber that is called both at its old and at its new time.
TEST(TimerQueueTest, RescheduleMovesTheTimer) {
  TimerQueue queue;
  Recorder recorder;
  queue.Schedule(recorder, TimePoint(milliseconds(1)));
  queue.Schedule(recorder, TimePoint(milliseconds(10)));
  queue.RunDue(TimePoint(milliseconds(5)));
  EXPECT_TRUE(recorder.calls.empty());
  queue.RunDue(TimePoint(milliseconds(10)));
  EXPECT_EQ(recorder.calls.size(), 1U);
}

}  // namespace
}  // namespace masticpin
