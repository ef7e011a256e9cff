#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"

namespace masticpin {

/// Timer service with a thread of its own. All calls are made with the owner's mutex held, and all
/// subscribers are called with it held, so that single-threaded objects can share it.
class ThreadTimerService : public TimerService {
 public:
  /// `mutex` and `clock` must outlive the service.
  ThreadTimerService(std::mutex& mutex, const Clock& clock);
  ~ThreadTimerService() override;

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

  /// Ends the thread. Must be called without the mutex held; further calls do nothing.
  void Stop();

 private:
  void Run();

  std::mutex& mutex;
  const Clock& clock;
  TimerQueue queue;
  std::condition_variable changed;
  bool stopping = false;
  std::thread thread;
};

}  // namespace masticpin
