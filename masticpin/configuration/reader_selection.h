#pragma once

#include <cstdint>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/membership/member_table.h"

namespace masticpin {

struct ReaderSelectionSettings {
  /// Readers in each zone; two may fail at the same time without a gap.
  std::size_t readers_per_zone = 3;
  /// Silence after which any node reads the service itself.
  Duration confirmation_timeout = std::chrono::seconds(10);
  /// Bounds of the back-off of such reads.
  Duration initial_backoff = std::chrono::seconds(1);
  Duration max_backoff = std::chrono::seconds(60);
  /// Calls per second that all nodes together make at most when no reader is heard: the delay
  /// before the first read is spread over (members / this rate), because all nodes miss the
  /// confirmation at about the same time.
  double fleet_call_rate = 250;
};

enum class ReaderRole : std::uint8_t {
  /// Relies on the readers.
  kNone,
  /// Reads and watches the service.
  kReader,
  /// No reader was heard for too long: reads the service with a back-off.
  kFallback,
};

/// Decides from the own member table who reads the configuration service. Nodes that disagree only
/// cause a few more or fewer readers. Not thread-safe.
class ReaderSelection {
 public:
  using Settings = ReaderSelectionSettings;

  ReaderSelection(const MemberTable& members, const Clock& clock, Settings settings = {});

  /// The role of this node now.
  ReaderRole Role() const;

  /// The service confirmed the versions to some reader `age` ago.
  void RecordConfirmation(Duration age);

  /// Time since the last known confirmation, if there was one.
  std::optional<Duration> ConfirmationAge() const;

  /// Interval over which reads of nodes without a reader are spread, for the given back-off.
  Duration SpreadInterval(Duration backoff) const;

  const Settings& GetSettings() const { return this->settings; }

 private:
  bool IsReader() const;

  const MemberTable& members;
  const Clock& clock;
  const Settings settings;
  const TimePoint started_at;
  std::optional<TimePoint> confirmed_at;
};

}  // namespace masticpin
