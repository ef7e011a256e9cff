#include "masticpin/routing/departure_detector.h"

#include <algorithm>
#include <utility>

namespace masticpin {

void DepartureDetector::OnResponse(bool keeps_connection, TimePoint now) {
  const Duration gap = now - std::exchange(this->last_response_at, now);
  if (keeps_connection) {
    this->closing_responses = 0;
    this->interval = Duration::zero();
  } else if (gap > this->settings.max_response_gap) {
    this->closing_responses = this->settings.min_closing_responses;
  } else {
    ++this->closing_responses;
  }
}

bool DepartureDetector::TryStartCheck(TimePoint now) {
  if (this->closing_responses < this->settings.min_closing_responses || now < this->next_check) {
    return false;
  }
  this->interval = std::clamp(this->interval * 2, this->settings.check_interval,
                              this->settings.max_check_interval);
  this->next_check = now + this->interval;
  return true;
}

}  // namespace masticpin
