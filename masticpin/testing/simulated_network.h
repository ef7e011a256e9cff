#pragma once

#include <array>
#include <cstdint>
#include <functional>

#include "masticpin/testing/event_schedule.h"

namespace masticpin {

/// Simulates nodes that can be paused and the network between them, which can be partitioned and
/// delays, repeats, reorders and loses messages.
class SimulatedNetwork : protected EventSchedule {
 public:
  /// Without `all_faults` only partitions occur.
  SimulatedNetwork(std::uint64_t seed, bool all_faults)
      : EventSchedule(seed), all_faults(all_faults) {}

 protected:
  static constexpr int kNodes = 4;

  bool FaultOccurs(int per_mille) {
    return this->all_faults && this->random.NextBelow(1000) < static_cast<std::uint64_t>(per_mille);
  }

  bool CanReach(int from, int to) const {
    return this->partition_sides[from] == this->partition_sides[to];
  }
  void Partition() {
    for (int& side : this->partition_sides) {
      side = static_cast<int>(this->random.NextBelow(2));
    }
  }
  void EndPartition() { this->partition_sides.fill(0); }

  bool IsPaused(int node) const { return this->paused_until[node] > this->clock.Now(); }
  void Pause(int node, Duration length) { this->paused_until[node] = this->clock.Now() + length; }

  // Delivers `call` at `to`, possibly late, twice, out of order, or not at all.
  void Transmit(int from, int to, const std::function<void()>& call) {
    const int copies = this->FaultOccurs(80) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->FaultOccurs(20)) {
        continue;
      }
      Duration delay = this->RandomDuration(milliseconds(1), milliseconds(10));
      if (this->FaultOccurs(60)) {
        delay = this->RandomDuration(milliseconds(10), seconds(2));
      }
      if (this->FaultOccurs(3)) {
        delay = this->RandomDuration(seconds(3), seconds(200));
      }
      this->ScheduleAfter(delay, [this, from, to, call] { this->Deliver(from, to, call); });
    }
  }

  using milliseconds = std::chrono::milliseconds;  // NOLINT(readability-identifier-naming)
  using seconds = std::chrono::seconds;            // NOLINT(readability-identifier-naming)

 private:
  void Deliver(int from, int to, const std::function<void()>& call) {
    if (!this->CanReach(from, to)) {
      return;
    }
    if (this->IsPaused(to)) {
      // Sockets buffer the messages that arrive while the process is paused.
      this->ScheduleAfter(this->paused_until[to] - this->clock.Now(),
                          [this, from, to, call] { this->Deliver(from, to, call); });
      return;
    }
    call();
  }

  const bool all_faults;
  std::array<TimePoint, kNodes> paused_until{};
  // Side of the partition of each node: 0 or 1.
  std::array<int, kNodes> partition_sides{};
};

}  // namespace masticpin
