#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Returns the remaining time that another node sent, capped at `bound`. The cap is applied before
/// the conversion, so that no received value can overflow.
inline Duration RemainingTime(std::uint64_t remaining_us, Duration bound) {
  using std::chrono::microseconds;
  const auto max_remaining_us = std::chrono::duration_cast<microseconds>(bound).count();
  return microseconds(std::min(remaining_us, static_cast<std::uint64_t>(max_remaining_us)));
}

}  // namespace masticpin
