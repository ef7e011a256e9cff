#include "masticpin/attempts/retry_allowance.h"

#include <algorithm>

namespace masticpin {

RetryAllowance::RetryAllowance(const Clock& clock, Settings settings)
    : clock(&clock), settings(settings) {}

void RetryAllowance::OnRequest() {
  ++this->CurrentSlot().requests;
}

bool RetryAllowance::TryRepeat(std::uint32_t cost,
                               std::size_t instances,
                               bool important,
                               std::optional<double> chain_rank) {
  const double by_rank =
      chain_rank ? this->settings.lowest_rank_part +
                       (this->settings.calls_part - this->settings.lowest_rank_part) * *chain_rank
                 : 1;
  const double part = this->settings.used_part *
                      (important ? by_rank : this->settings.less_important_part * by_rank);
  if (static_cast<double>(this->Repeats() + cost) > part * this->Shared(instances)) {
    return false;
  }
  this->CurrentSlot().repeats += cost;
  return true;
}

std::uint32_t RetryAllowance::Left(std::size_t instances) const {
  const double left =
      this->settings.used_part * this->Shared(instances) - static_cast<double>(this->Repeats());
  return static_cast<std::uint32_t>(std::max(left, 0.0));
}

std::uint64_t RetryAllowance::Repeats() const {
  std::uint64_t repeats = 0;
  const std::int64_t current = this->CurrentIndex();
  for (const Slot& slot : this->slots) {
    // One slot more than a window, because the present slot has only begun.
    if (slot.index >= current - kWindowSlots) {
      repeats += slot.repeats;
    }
  }
  return repeats;
}

double RetryAllowance::Shared(std::size_t instances) const {
  // The budget follows the busiest of the present window, the one before and the one between.
  const std::int64_t current = this->CurrentIndex();
  const std::uint64_t requests =
      std::max({this->RequestsUntil(current), this->RequestsUntil(current - kWindowSlots / 2),
                this->RequestsUntil(current - kWindowSlots)});
  const double constant =
      instances == 0 ? 0 : this->settings.slack / static_cast<double>(instances);
  return this->settings.ratio * static_cast<double>(requests) + constant;
}

std::uint64_t RetryAllowance::RequestsUntil(std::int64_t last) const {
  std::uint64_t requests = 0;
  for (const Slot& slot : this->slots) {
    if (slot.index <= last && slot.index > last - kWindowSlots) {
      requests += slot.requests;
    }
  }
  return requests;
}

std::int64_t RetryAllowance::CurrentIndex() const {
  return this->clock->Now().time_since_epoch() / (this->settings.window / kWindowSlots);
}

RetryAllowance::Slot& RetryAllowance::CurrentSlot() {
  const std::int64_t index = this->CurrentIndex();
  Slot& slot = this->slots[static_cast<std::size_t>(index) % kSlots];
  if (slot.index != index) {
    slot = Slot{index, 0, 0};
  }
  return slot;
}

}  // namespace masticpin
