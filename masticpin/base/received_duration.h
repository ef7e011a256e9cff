#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Received times longer than this are taken as this. It exceeds all timeouts, and its sum with a
/// TimePoint does not overflow.
constexpr Duration kMaxReceivedDuration = std::chrono::hours(24);

/// Converts a number of `Unit`s from outside the process. Every such number passes through here,
/// because a Duration cannot hold all of them and a signed overflow is undefined.
template <typename Unit>
constexpr Duration ReceivedDuration(std::uint64_t count) {
  constexpr auto kMaxCount =
      static_cast<std::uint64_t>(std::chrono::duration_cast<Unit>(kMaxReceivedDuration).count());
  return Unit(static_cast<typename Unit::rep>(std::min(count, kMaxCount)));
}

}  // namespace masticpin
