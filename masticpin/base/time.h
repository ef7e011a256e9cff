#pragma once

#include <chrono>

namespace masticpin {

/// All durations inside the library have nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of this process. Never sent to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

}  // namespace masticpin
