#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {

/// Runs events at random times on a fake clock. The same seed produces the same events.
class EventSchedule {
 public:
  explicit EventSchedule(std::uint64_t seed) : random(seed) {}

 protected:
  bool Chance(int percent) {
    return this->random.NextBelow(100) < static_cast<std::uint64_t>(percent);
  }
  Duration RandomDuration(Duration low, Duration high) {
    return low + Duration(static_cast<std::int64_t>(
                     this->random.NextBelow(static_cast<std::uint64_t>((high - low).count()) + 1)));
  }
  void ScheduleAfter(Duration delay, std::function<void()> call) {
    this->events.push({this->clock.Now() + delay, this->order++, std::move(call)});
  }

  /// Runs the events that are due; events of the same time run in the order of their creation.
  void RunDueEvents() {
    const TimePoint now = this->clock.Now();
    while (!this->events.empty() && this->events.top().due <= now) {
      const auto call = this->events.top().call;
      this->events.pop();
      call();
    }
  }

  FakeClock clock;
  SeededRandom random;

 private:
  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::tie(other.due, other.order) < std::tie(this->due, this->order);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t order = 0;
};

}  // namespace masticpin
