#include "masticpin/membership/transit_time_estimator.h"

#include <utility>

namespace masticpin {
namespace {

/// Steady clocks of two machines drift apart by less than one part in this many.
constexpr int kClockDriftDivisor = 1000;

/// A message that seems to be faster than all earlier ones by more than this shows that a clock has
/// jumped. Messages between nodes take a few milliseconds.
constexpr Duration kMaxGain = std::chrono::milliseconds(100);

/// An exchange that took longer says too little about the difference of the clocks.
constexpr Duration kMaxReplyTime = std::chrono::milliseconds(50);

}  // namespace

std::optional<Duration> TransitTimeEstimator::OnMessage(Duration sender_clock,
                                                        TimePoint received_at) {
  const Duration difference = received_at.time_since_epoch() - sender_clock;
  const TimePoint previous = std::exchange(this->updated_at, received_at);
  if (!this->least_difference) {
    this->least_difference = difference;
    return std::nullopt;
  }
  *this->least_difference += (received_at - previous) / kClockDriftDivisor;
  const Duration excess = difference - *this->least_difference;
  if (excess < Duration::zero()) {
    this->least_difference = difference;
    return excess < -kMaxGain ? std::nullopt : std::optional(Duration::zero());
  }
  return excess;
}

void TransitTimeEstimator::OnReply(TimePoint asked_at,
                                   Duration sender_clock,
                                   TimePoint received_at) {
  if (received_at - asked_at <= kMaxReplyTime) {
    this->least_difference = received_at.time_since_epoch() - sender_clock;
    this->updated_at = received_at;
  }
}

}  // namespace masticpin
