#include "sidecar/peer_protocol.h"

#include <algorithm>
#include <limits>

namespace masticpin {

std::uint64_t ToClockMicroseconds(TimePoint time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

Duration FromClockMicroseconds(std::uint64_t microseconds) {
  // Bounds readings that no clock shows, so that differences between them do not overflow.
  constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{1} << 52;
  return std::chrono::microseconds(std::min(microseconds, kMaxMicroseconds));
}

std::uint64_t ToRemainingMicroseconds(Duration remaining) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(remaining).count(), 0));
}

LoadReport DecodeLoadReport(const wire::LoadReport& load) {
  return LoadReport{load.limit(), load.in_flight(), load.queued(), load.threshold(),
                    load.repeats_left()};
}

void EncodeLoadReport(const LoadReport& load, wire::LoadReport& message) {
  message.set_limit(load.limit);
  message.set_in_flight(load.in_flight);
  message.set_queued(load.queued);
  message.set_threshold(load.threshold);
  message.set_repeats_left(load.retries_left);
}

WorkTimeReport DecodeWorkTime(const wire::LoadReport& load) {
  return WorkTimeReport{std::chrono::microseconds(load.work_us()), load.work_samples(),
                        std::chrono::milliseconds(load.work_age_ms())};
}

void EncodeWorkTime(const WorkTimeReport& report, wire::LoadReport& message) {
  if (report.samples == 0) {
    return;
  }
  const auto clamp = [](std::int64_t count) {
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
  };
  message.set_work_us(
      clamp(std::chrono::duration_cast<std::chrono::microseconds>(report.work).count()));
  message.set_work_samples(report.samples);
  message.set_work_age_ms(
      clamp(std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count()));
}

}  // namespace masticpin
