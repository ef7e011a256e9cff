#pragma once

#include <condition_variable>
#include <thread>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"
#include "net/node_core.h"

namespace masticpin {

/// Timer service with a thread of its own. After Start(), all calls are made within a section of
/// the core, and so are those of the subscribers, so that single-threaded objects can share it.
class ThreadTimerService : public TimerService {
 public:
  /// `core` and `clock` must outlive the service.
  ThreadTimerService(NodeCore& core, const Clock& clock);
  ~ThreadTimerService() override;

  /// Starts the thread; called once. Until then no section is needed, so that objects can schedule
  /// timers in their constructors.
  void Start();

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

  /// Ends the thread. Must be called outside of a section; further calls do nothing.
  void Stop();

 private:
  void Run();

  NodeCore& core;
  const Clock& clock;
  TimerQueue queue;
  std::condition_variable changed;
  bool stopping = false;
  std::thread thread;
};

}  // namespace masticpin
