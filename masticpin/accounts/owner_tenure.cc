#include "masticpin/accounts/owner_tenure.h"

namespace masticpin {

void OwnerTenure::OnConfigured() {
  if (!this->configured_at) {
    this->configured_at = this->clock.Now();
  }
}

bool OwnerTenure::IsSettled() const {
  return this->configured_at &&
         this->clock.Now() - *this->configured_at >= this->settings.claim_wait;
}

bool OwnerTenure::MayOwn(std::uint64_t account) const {
  return !this->HasHandedOver(account) && (this->IsSettled() || this->taken_over.contains(account));
}

void OwnerTenure::OnTakenOver(std::uint64_t account) {
  this->handed_over_at.erase(account);
  if (!this->IsSettled()) {
    this->taken_over.insert(account);
  }
}

void OwnerTenure::OnHandedOver(std::uint64_t account) {
  this->taken_over.erase(account);
  this->handed_over_at[account] = this->clock.Now();
}

bool OwnerTenure::HasHandedOver(std::uint64_t account) const {
  const auto found = this->handed_over_at.find(account);
  return found != this->handed_over_at.end() &&
         this->clock.Now() - found->second < this->settings.handover_memory;
}

bool OwnerTenure::TryStartClaims() {
  const TimePoint now = this->clock.Now();
  if (now - this->claimed_at < this->settings.claim_interval) {
    return false;
  }
  this->claimed_at = now;
  return true;
}

void OwnerTenure::RemoveExpired() {
  std::erase_if(this->handed_over_at, [this](const auto& entry) {
    return this->clock.Now() - entry.second >= this->settings.handover_memory;
  });
  if (this->IsSettled()) {
    this->taken_over.clear();
  }
}

}  // namespace masticpin
