#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// A value whose changes become visible to readers after a lag. Not thread-safe.
template <typename T>
class LaggingValue {
 public:
  /// `initial` is visible immediately.
  LaggingValue(T initial, Duration lag) : lag(lag), current(std::move(initial)) {}

  void Set(TimePoint now, T value) {
    this->Advance(now);
    this->pending.emplace_back(now, std::move(value));
  }

  const T& Get(TimePoint now) {
    this->Advance(now);
    return this->current;
  }

  /// Also applies to values that are not yet visible.
  void SetLag(Duration value) { this->lag = value; }

  /// Returns the value set last, even if it is not yet visible.
  const T& Newest() const {
    return this->pending.empty() ? this->current : this->pending.back().second;
  }

 private:
  void Advance(TimePoint now) {
    while (!this->pending.empty() && now - this->pending.front().first >= this->lag) {
      this->current = std::move(this->pending.front().second);
      this->pending.pop_front();
    }
  }

  Duration lag;
  T current;
  std::deque<std::pair<TimePoint, T>> pending;
};

}  // namespace masticpin::standins
