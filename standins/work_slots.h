#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Limits the number of concurrent requests. Further requests wait in a bounded FIFO queue.
/// Thread-safe.
class WorkSlots {
 public:
  enum class Result : std::uint8_t {
    kAcquired,
    /// The queue is full.
    kShed,
    /// The deadline passed while the request was in the queue.
    kExpired,
    /// The caller disconnected while the request was in the queue.
    kCancelled,
  };

  WorkSlots(std::size_t slots, std::size_t queue) : slots(slots), queue(queue) {}

  /// Waits for a slot. Every kAcquired must be followed by one Release(). `is_cancelled` is polled
  /// while the request waits, with the object's mutex held.
  Result Acquire(TimePoint deadline, const std::function<bool()>& is_cancelled);
  void Release();

  std::size_t Busy() const;
  std::size_t Waiting() const;

 private:
  struct Waiter {
    std::condition_variable granted_changed;
    bool granted = false;
  };

  const std::size_t slots;
  const std::size_t queue;
  mutable std::mutex mutex;
  std::size_t busy = 0;
  std::list<Waiter*> waiters;
};

}  // namespace masticpin::standins
