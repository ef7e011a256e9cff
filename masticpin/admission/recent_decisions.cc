#include "masticpin/admission/recent_decisions.h"

#include <algorithm>

namespace masticpin {

void RecentDecisions::OnAdmitted(TimePoint now, std::uint32_t packed_priority) {
  this->Rotate(now);
  this->current.lowest_admitted = std::min(this->current.lowest_admitted, packed_priority);
  ++this->current.admitted;
}

void RecentDecisions::OnRefused(TimePoint now) {
  this->Rotate(now);
  ++this->current.refused;
}

std::uint32_t RecentDecisions::Threshold(TimePoint now) const {
  const Bucket sum = this->Sum(now);
  return sum.refused == 0 || sum.lowest_admitted == kNone ? 0 : sum.lowest_admitted;
}

double RecentDecisions::RefusalRatio(TimePoint now) const {
  const Bucket sum = this->Sum(now);
  return static_cast<double>(sum.refused) / std::max(sum.admitted, 1U);
}

RecentDecisions::Bucket RecentDecisions::Sum(TimePoint now) const {
  const Duration age = now - this->current_start;
  Bucket sum;
  if (age < 2 * this->window) {
    sum = this->current;
  }
  if (age < this->window) {
    sum.lowest_admitted = std::min(sum.lowest_admitted, this->previous.lowest_admitted);
    sum.admitted += this->previous.admitted;
    sum.refused += this->previous.refused;
  }
  return sum;
}

void RecentDecisions::Rotate(TimePoint now) {
  const Duration age = now - this->current_start;
  if (age < this->window) {
    return;
  }
  this->previous = age < 2 * this->window ? this->current : Bucket();
  this->current = Bucket();
  this->current_start = now;
}

}  // namespace masticpin
