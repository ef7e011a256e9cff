#include "masticpin/attempts/attempt_budget.h"

#include <algorithm>

namespace masticpin {

bool AttemptBudget::Spend(std::uint32_t count) {
  if (this->Held() < count) {
    return false;
  }
  this->held -= count;
  this->spent += count;
  this->CheckConservation();
  return true;
}

AttemptGrant AttemptBudget::Take(std::uint32_t count) {
  AttemptGrant grant;
  if (this->Held() < count) {
    return grant;
  }
  this->held -= count;
  this->outstanding += count;
  grant.count = count;
  this->CheckConservation();
  return grant;
}

void AttemptBudget::Return(AttemptGrant& grant, std::uint32_t used) {
  const std::uint32_t granted = grant.count;
  grant.count = 0;
  if (this->closed) {
    return;
  }
  assert(granted <= this->outstanding);
  used = std::min(used, granted);
  this->outstanding -= granted;
  this->spent += used;
  this->held += granted - used;
  this->CheckConservation();
}

std::uint32_t AttemptBudget::Close() {
  this->closed = true;
  return this->Spent();
}

}  // namespace masticpin
