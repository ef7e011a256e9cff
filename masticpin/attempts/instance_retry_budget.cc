#include "masticpin/attempts/instance_retry_budget.h"

#include <algorithm>

namespace masticpin {

InstanceRetryBudget::InstanceRetryBudget(const Clock& clock, Settings settings)
    : clock(&clock), settings(settings) {}

void InstanceRetryBudget::OnRequest() {
  ++this->CurrentSlot().requests;
}

bool InstanceRetryBudget::TryRetry(std::uint32_t cost,
                                   std::size_t instances,
                                   bool important,
                                   std::optional<double> chain_rank) {
  const double by_rank =
      chain_rank
          ? this->settings.lowest_rank_share +
                (this->settings.inner_call_share - this->settings.lowest_rank_share) * *chain_rank
          : 1;
  const double grantable_share =
      this->settings.usable_share *
      (important ? by_rank : this->settings.less_important_share * by_rank);
  if (static_cast<double>(this->RetriesInWindow() + cost) >
      grantable_share * this->InstanceShare(instances)) {
    return false;
  }
  this->CurrentSlot().retries += cost;
  return true;
}

std::uint32_t InstanceRetryBudget::RetriesLeft(std::size_t instances) const {
  const double left = this->settings.usable_share * this->InstanceShare(instances) -
                      static_cast<double>(this->RetriesInWindow());
  return static_cast<std::uint32_t>(std::max(left, 0.0));
}

std::uint64_t InstanceRetryBudget::RetriesInWindow() const {
  std::uint64_t retries = 0;
  const std::int64_t current = this->CurrentIndex();
  for (const Slot& slot : this->slots) {
    // Includes one slot more than a window, because the current slot is incomplete.
    if (slot.index >= current - kWindowSlots) {
      retries += slot.retries;
    }
  }
  return retries;
}

double InstanceRetryBudget::InstanceShare(std::size_t instances) const {
  // The budget depends on the busiest of three windows: the current one, the one before it and the
  // one half a window earlier.
  const std::int64_t current = this->CurrentIndex();
  const std::uint64_t requests =
      std::max({this->RequestsUntil(current), this->RequestsUntil(current - kWindowSlots / 2),
                this->RequestsUntil(current - kWindowSlots)});
  const double constant =
      instances == 0 ? 0 : this->settings.slack / static_cast<double>(instances);
  return this->settings.ratio * static_cast<double>(requests) + constant;
}

std::uint64_t InstanceRetryBudget::RequestsUntil(std::int64_t last) const {
  std::uint64_t requests = 0;
  for (const Slot& slot : this->slots) {
    if (slot.index <= last && slot.index > last - kWindowSlots) {
      requests += slot.requests;
    }
  }
  return requests;
}

std::int64_t InstanceRetryBudget::CurrentIndex() const {
  return this->clock->Now().time_since_epoch() / (this->settings.window / kWindowSlots);
}

InstanceRetryBudget::Slot& InstanceRetryBudget::CurrentSlot() {
  const std::int64_t index = this->CurrentIndex();
  Slot& slot = this->slots[static_cast<std::size_t>(index) % kSlots];
  if (slot.index != index) {
    slot = Slot{index, 0, 0};
  }
  return slot;
}

}  // namespace masticpin
