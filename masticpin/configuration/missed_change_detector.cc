#include "masticpin/configuration/missed_change_detector.h"

namespace masticpin {

bool MissedChangeDetector::OnListRead(RegistryRevision revision,
                                      std::size_t instances,
                                      RegistryRevision confirmed_revision,
                                      TimePoint now) {
  if (!this->waiting_since) {
    // While a fleet starts, the registry changes all the time.
    this->waiting_since = now;
  }
  if (revision <= confirmed_revision || now - *this->waiting_since < this->Interval(instances)) {
    return false;
  }
  this->waiting_since = now;
  return true;
}

Duration MissedChangeDetector::Interval(std::size_t instances) const {
  const Duration per_instance = instances > this->settings.large_fleet
                                    ? this->settings.interval_per_instance_of_large_fleet
                                    : this->settings.interval_per_instance;
  return this->settings.min_interval + per_instance * static_cast<int>(instances);
}

}  // namespace masticpin
