#include "masticpin/configuration/missed_change_detector.h"

namespace masticpin {

bool MissedChangeDetector::OnListRead(std::uint64_t revision,
                                      std::size_t instances,
                                      std::uint64_t confirmed_revision,
                                      TimePoint now) {
  if (revision <= confirmed_revision || now < this->next_check) {
    return false;
  }
  this->next_check = now + this->settings.min_interval +
                     this->settings.interval_per_instance * static_cast<int>(instances);
  return true;
}

}  // namespace masticpin
