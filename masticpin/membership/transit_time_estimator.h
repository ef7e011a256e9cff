#pragma once

#include <optional>

#include "masticpin/base/time.h"

namespace masticpin {

/// Estimates how long the messages of one connection were under way, including the time in which
/// the receiver did not read them. The sender stamps each message with the reading of its steady
/// clock. The clocks of both sides are not synchronized: the message with the least difference
/// between both readings is taken as one that arrived without delay.
class TransitTimeEstimator {
 public:
  /// Records a message and returns for how much longer than the fastest one it was under way.
  /// Returns nullopt if that is unknown: for the first message, and if the difference of the clocks
  /// has jumped, as after one side was suspended.
  std::optional<Duration> OnMessage(Duration sender_clock, TimePoint received_at);

  /// Records a message that answers one which was sent to the other side at `asked_at`. A fast
  /// exchange corrects the difference of the clocks.
  void OnReply(TimePoint asked_at, Duration sender_clock, TimePoint received_at);

 private:
  /// Difference of both clocks, plus the transit time of the fastest message; nullopt before the
  /// first message.
  std::optional<Duration> least_difference;
  TimePoint updated_at{};
};

}  // namespace masticpin
