#include "masticpin/configuration/missed_change_detector.h"

namespace masticpin {

bool MissedChangeDetector::OnListRead(std::uint64_t revision,
                                      std::size_t instances,
                                      std::uint64_t confirmed_revision,
                                      TimePoint now) {
  if (!this->next_check) {
    // While a fleet starts, the registry changes all the time.
    this->next_check = now + this->Interval(instances);
  }
  if (revision <= confirmed_revision || now < *this->next_check) {
    return false;
  }
  this->next_check = now + this->Interval(instances);
  return true;
}

Duration MissedChangeDetector::Interval(std::size_t instances) const {
  const Duration per_instance = instances > this->settings.large_fleet
                                    ? this->settings.interval_per_instance_of_large_fleet
                                    : this->settings.interval_per_instance;
  return this->settings.min_interval + per_instance * static_cast<int>(instances);
}

}  // namespace masticpin
