#include "net/thread_timer_service.h"

namespace masticpin {

ThreadTimerService::ThreadTimerService(NodeCore& core, const Clock& clock)
    : core(core), clock(clock) {}

ThreadTimerService::~ThreadTimerService() {
  this->Stop();
}

void ThreadTimerService::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ThreadTimerService::Schedule(TimerSubscriber& subscriber, TimePoint due) {
  const bool earliest = !this->queue.NextDue().has_value() || due < *this->queue.NextDue();
  this->queue.Schedule(subscriber, due);
  if (earliest) {
    this->changed.notify_one();
  }
}

void ThreadTimerService::Cancel(TimerSubscriber& subscriber) {
  this->queue.Cancel(subscriber);
}

void ThreadTimerService::Stop() {
  {
    const NodeCore::CriticalSection section(this->core);
    this->stopping = true;
    this->changed.notify_one();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ThreadTimerService::Run() {
  std::unique_lock lock(this->core.Mutex());
  while (!this->stopping) {
    const auto due = this->queue.NextDue();
    if (!due.has_value()) {
      this->changed.wait(lock);
    } else if (*due > this->clock.Now()) {
      this->changed.wait_until(lock, *due);
    } else {
      this->queue.RunDue(this->clock.Now());
      this->core.RunDeferred();
    }
  }
}

}  // namespace masticpin
