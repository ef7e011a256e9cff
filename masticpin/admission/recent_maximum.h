#pragma once

#include <array>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// The longest of the durations that were added recently. Not thread-safe.
class RecentMaximum {
 public:
  /// Durations count for at least half of `window` and at most for all of it. `clock` must outlive
  /// the object.
  explicit RecentMaximum(const Clock& clock, Duration window = std::chrono::seconds(30))
      : clock(clock), half_window(window / 2) {}

  void Add(Duration duration);

  /// Returns std::nullopt if nothing was added recently.
  std::optional<Duration> Get();

 private:
  /// Starts a new half of the window if the current one is over.
  void Advance();

  const Clock& clock;
  const Duration half_window;
  TimePoint half_start{};
  /// The maxima of the current half of the window and of the one before.
  std::array<std::optional<Duration>, 2> halves;
};

}  // namespace masticpin
