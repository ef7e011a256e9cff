#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace masticpin {

/// Serializes the calls into the single-threaded objects of a node. Work that must not run inside
/// another object's call, such as a message of the node to itself, is deferred to the end of the
/// critical section.
class NodeCore {
 public:
  using Task = std::function<void()>;

  /// Holds the mutex. Runs the deferred tasks before releasing it.
  class CriticalSection {
   public:
    explicit CriticalSection(NodeCore& core) : core(core), lock(core.mutex) {}
    ~CriticalSection() { this->core.RunDeferred(); }
    CriticalSection(const CriticalSection&) = delete;
    CriticalSection& operator=(const CriticalSection&) = delete;

    /// For condition variables. Call RunDeferred() before waiting: a wait releases the mutex
    /// without running the deferred tasks.
    std::unique_lock<std::mutex>& Lock() { return this->lock; }

   private:
    NodeCore& core;
    std::unique_lock<std::mutex> lock;
  };

  /// Defers `task`. The mutex must be held.
  void Defer(Task task) { this->tasks.push_back(std::move(task)); }

  /// Runs the deferred tasks, including those that they defer. The mutex must be held.
  void RunDeferred() {
    while (!this->tasks.empty()) {
      const Task task = std::move(this->tasks.front());
      this->tasks.pop_front();
      task();
    }
  }

  std::mutex& Mutex() { return this->mutex; }

 private:
  std::mutex mutex;
  std::deque<Task> tasks;
};

}  // namespace masticpin
