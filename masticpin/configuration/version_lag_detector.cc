#include "masticpin/configuration/version_lag_detector.h"

#include <algorithm>

namespace masticpin {

void VersionLagDetector::OnPeerVersion(std::uint64_t version,
                                       std::uint64_t own_version,
                                       TimePoint now) {
  if (version > own_version && this->peer_version <= own_version) {
    this->behind_since = now;
  }
  this->peer_version = std::max(this->peer_version, version);
}

bool VersionLagDetector::IsBehind(std::uint64_t own_version, TimePoint now) const {
  return this->peer_version > own_version && now - this->behind_since >= this->settings.tolerance;
}

bool VersionLagDetector::TryStartRead(std::uint64_t own_version, TimePoint now) {
  if (!this->IsBehind(own_version, now) || now < this->next_read) {
    return false;
  }
  this->next_read = now + this->settings.read_interval;
  return true;
}

}  // namespace masticpin
