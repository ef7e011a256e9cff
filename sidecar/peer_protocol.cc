#include "sidecar/peer_protocol.h"

#include <algorithm>

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

}  // namespace masticpin
