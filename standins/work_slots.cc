#include "standins/work_slots.h"

#include <algorithm>
#include <cassert>

namespace masticpin::standins {

namespace {

// Bounds the time for which a request of a disconnected caller still occupies a queue entry.
constexpr Duration kCancelPollInterval = std::chrono::milliseconds(50);

}  // namespace

WorkSlots::Result WorkSlots::Acquire(TimePoint deadline,
                                     const std::function<bool()>& is_cancelled) {
  std::unique_lock lock(this->mutex);
  if (this->busy < this->slots) {
    ++this->busy;
    return Result::kAcquired;
  }
  if (this->waiters.size() >= this->queue) {
    return Result::kShed;
  }

  // Release() hands the slot directly to the first waiter, so later arrivals cannot overtake it.
  Waiter waiter;
  const auto position = this->waiters.insert(this->waiters.end(), &waiter);
  Result failure = Result::kExpired;
  while (!waiter.granted) {
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= deadline) {
      break;
    }
    if (is_cancelled()) {
      failure = Result::kCancelled;
      break;
    }
    waiter.granted_changed.wait_until(lock, std::min(deadline, now + kCancelPollInterval));
  }
  if (waiter.granted) {
    return Result::kAcquired;
  }
  this->waiters.erase(position);
  return failure;
}

void WorkSlots::Release() {
  const std::lock_guard lock(this->mutex);
  assert(this->busy > 0);
  if (this->waiters.empty()) {
    --this->busy;
    return;
  }
  Waiter* next = this->waiters.front();
  this->waiters.pop_front();
  next->granted = true;
  next->granted_changed.notify_one();
}

std::size_t WorkSlots::Busy() const {
  const std::lock_guard lock(this->mutex);
  return this->busy;
}

std::size_t WorkSlots::Waiting() const {
  const std::lock_guard lock(this->mutex);
  return this->waiters.size();
}

}  // namespace masticpin::standins
