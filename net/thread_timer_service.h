#pragma once

#include <condition_variable>
#include <thread>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_queue.h"
#include "net/node_core.h"

namespace masticpin {

/// Timer service with its own thread. After Start(), all functions must be called within a
/// NodeCore::CriticalSection, and subscribers are called within one, too, so that single-threaded
/// objects can share the service.
class ThreadTimerService : public TimerService {
 public:
  /// `core` and `clock` must outlive the service.
  ThreadTimerService(NodeCore& core, const Clock& clock);
  ~ThreadTimerService() override;

  /// Starts the thread; must be called once. Before that, no critical section is needed, so that
  /// objects can schedule timers in their constructors.
  void Start();

  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

  /// Ends the thread. Must be called outside of any critical section. Repeated calls have no
  /// effect.
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
