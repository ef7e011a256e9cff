#pragma once

#include <cstdint>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/membership/member_table.h"

namespace masticpin {

struct ReaderSelectionSettings {
  /// Number of readers in each zone; with three, two may fail at the same time without a gap in the
  /// confirmations.
  std::size_t readers_per_zone = 3;
  /// Time without a confirmation after which any node reads from the service itself.
  Duration confirmation_timeout = std::chrono::seconds(10);
  /// Initial and maximum back-off of such fallback reads.
  Duration initial_backoff = std::chrono::seconds(1);
  Duration max_backoff = std::chrono::seconds(60);
  /// Maximum calls per second of all nodes together when no reader confirms the versions. The
  /// confirmation times out on all nodes at about the same time, so their first reads are spread
  /// over at least (number of members / this rate), and so are further reads after a failure.
  double fleet_call_rate = 250;
};

enum class ReaderRole : std::uint8_t {
  /// Relies on the readers.
  kNone,
  /// Reads from the service and watches it.
  kReader,
  /// No confirmation from a reader for too long: reads from the service with a back-off.
  kFallback,
};

/// Decides from this node's member table whether it reads from the configuration service.
/// Differences between the tables of the nodes cause only a few more or fewer readers. Not
/// thread-safe.
class ReaderSelection {
 public:
  using Settings = ReaderSelectionSettings;

  ReaderSelection(const MemberTable& members, const Clock& clock, Settings settings = {});

  /// Returns the current role of this node.
  ReaderRole Role() const;

  /// Records that the service confirmed the versions to a node `age` ago.
  void RecordConfirmation(Duration age);

  /// Returns the time since the last known confirmation, if there was one.
  std::optional<Duration> ConfirmationAge() const;

  /// Returns the interval over which fallback reads are spread, for the given back-off.
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
