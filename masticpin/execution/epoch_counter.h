#pragma once

#include <cstdint>

#include "masticpin/base/clock.h"

namespace masticpin {

/// Number of the current epoch of this process. It is computed from the monotonic clock on each
/// call, so a process that was paused sees the right epoch before any timer has run.
class EpochCounter {
 public:
  // Keys are accepted in their epoch and the next one, so a key is valid for 60 s to 120 s, which
  // covers the maximum caller deadline (30 s) with retries.
  static constexpr std::chrono::seconds kLength{60};

  /// The first epoch, number 1, starts now.
  explicit EpochCounter(const Clock& clock) : clock(clock), origin(clock.Now()) {}

  std::uint32_t Current() const {
    return static_cast<std::uint32_t>((this->clock.Now() - this->origin) / kLength) + 1;
  }

  /// Start of `epoch`; epochs are numbered from 1.
  TimePoint StartOf(std::uint32_t epoch) const {
    return this->origin + kLength * (static_cast<std::int64_t>(epoch) - 1);
  }

  /// Whether keys of `epoch` are accepted: those of the current and the previous epoch are.
  bool Accepts(std::uint32_t epoch) const {
    const std::uint32_t current = this->Current();
    return epoch <= current && epoch + 1 >= current;
  }

 private:
  const Clock& clock;
  TimePoint origin;
};

}  // namespace masticpin
