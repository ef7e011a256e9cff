#pragma once

#include <cstddef>
#include <optional>

#include "masticpin/base/time.h"
#include "masticpin/routing/registry_revision.h"

namespace masticpin {

struct MissedChangeDetectorSettings {
  /// Minimum time before a check, since the first read or the last check, and its increase for each
  /// listed instance. Any change of the registry lets all nodes check, and each check is a call
  /// that has a cost.
  Duration min_interval = std::chrono::milliseconds(1000);
  Duration interval_per_instance = std::chrono::milliseconds(100);
  /// With more instances than this, a service has several in each zone. The nodes exchange requests
  /// all the time and learn newer versions from each other, so they check more rarely: all of them
  /// together once per second.
  std::size_t large_fleet = 40;
  Duration interval_per_instance_of_large_fleet = std::chrono::milliseconds(1000);
};

/// Detects that the answer to a waiting watch call may have been lost. A watch call waits for a
/// long time, and nothing shows that its answer was lost: the connection stays open. The regular
/// reads of the instance list show how far the registry has advanced. If that is further than the
/// watch has confirmed, the change may be one that the watch waits for. Not thread-safe.
class MissedChangeDetector {
 public:
  using Settings = MissedChangeDetectorSettings;

  explicit MissedChangeDetector(const Settings& settings = {}) : settings(settings) {}

  /// Records that the registry had advanced to `revision` when a list of `instances` was read.
  /// Returns whether the watch, which has confirmed `confirmed_revision`, must be checked now.
  bool OnListRead(RegistryRevision revision,
                  std::size_t instances,
                  RegistryRevision confirmed_revision,
                  TimePoint now);

 private:
  Duration Interval(std::size_t instances) const;

  const Settings settings;
  /// Time of the last check, or of the first list read; unset before that.
  std::optional<TimePoint> waiting_since;
};

}  // namespace masticpin
