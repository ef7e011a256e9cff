#pragma once

#include <array>
#include <cstdint>

#include "masticpin/base/clock.h"

namespace masticpin {

/// Limits the retries that one node sends to a share of its recent first attempts.
class SenderRetryBudget {
 public:
  explicit SenderRetryBudget(const Clock& clock) : clock(clock) {}

  /// Counts one first attempt.
  void OnFirstAttempt();

  /// Counts one retry and returns true. Returns false if the retries of the last 10 s would exceed
  /// 10% of the first attempts of that time and another retry was sent less than 1 s ago.
  bool TryRetry();

 private:
  // 10 slots of 1 s: long enough to average over the requests of a node with little load, short
  // enough that first attempts before a surge do not allow retries during it.
  static constexpr std::size_t kSlots = 10;

  struct Slot {
    std::int64_t second = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  Slot& CurrentSlot(std::int64_t second);

  const Clock& clock;
  std::array<Slot, kSlots> slots{};
  TimePoint next_guaranteed_retry{};
};

}  // namespace masticpin
