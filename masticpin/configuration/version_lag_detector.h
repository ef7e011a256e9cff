#pragma once

#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

struct VersionLagDetectorSettings {
  /// A newer version usually arrives by itself within this time after the first peer has it.
  Duration tolerance = std::chrono::milliseconds(500);
  /// Minimum time between two extra reads.
  Duration read_interval = std::chrono::seconds(2);
};

/// Detects that this node missed a configuration which its peers have, for example because the
/// answer to its watch call was lost. Watch calls can then wait for a long time without the risk
/// that the node keeps an old configuration for as long.
class VersionLagDetector {
 public:
  using Settings = VersionLagDetectorSettings;

  explicit VersionLagDetector(const Settings& settings = {}) : settings(settings) {}

  /// Records the version that a peer has in force.
  void OnPeerVersion(std::uint64_t version, std::uint64_t own_version, TimePoint now);

  /// Whether peers have had a newer version for longer than the tolerance.
  bool IsBehind(std::uint64_t own_version, TimePoint now) const;

  /// Returns whether the configuration should be read again now. At most true once per interval.
  bool TryStartRead(std::uint64_t own_version, TimePoint now);

  std::uint64_t PeerVersion() const { return this->peer_version; }

 private:
  const Settings settings;
  std::uint64_t peer_version = 0;
  /// Since when peers have had a newer version than this node.
  TimePoint behind_since{};
  TimePoint next_read{};
};

}  // namespace masticpin
