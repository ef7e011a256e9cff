#include "masticpin/attempts/retry_allowance.h"

#include <algorithm>

namespace masticpin {

RetryAllowance::RetryAllowance(const Clock& clock, Settings settings)
    : clock(clock), settings(settings) {}

void RetryAllowance::OnRequest() {
  ++this->CurrentSlot().requests;
}

bool RetryAllowance::TryRepeat(std::uint32_t cost, std::size_t nodes, bool important, double rank) {
  Slot& current = this->CurrentSlot();
  std::uint64_t repeats = 0;
  for (const Slot& slot : this->slots) {
    // One slot more than a window, because the present slot has only begun.
    if (slot.index >= current.index - kWindowSlots) {
      repeats += slot.repeats;
    }
  }
  // The budget follows the busiest of the present window, the one before and the one between.
  const std::uint64_t requests = std::max({this->RequestsUntil(current.index),
                                           this->RequestsUntil(current.index - kWindowSlots / 2),
                                           this->RequestsUntil(current.index - kWindowSlots)});
  const double shared = this->settings.ratio * static_cast<double>(requests) +
                        this->settings.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double by_rank =
      this->settings.lowest_rank_part + (1 - this->settings.lowest_rank_part) * rank;
  const double part = this->settings.used_part *
                      (important ? by_rank : this->settings.less_important_part * by_rank);
  if (static_cast<double>(repeats + cost) > part * shared) {
    return false;
  }
  current.repeats += cost;
  return true;
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

RetryAllowance::Slot& RetryAllowance::CurrentSlot() {
  const Duration width = this->settings.window / kWindowSlots;
  const std::int64_t index = this->clock.Now().time_since_epoch() / width;
  Slot& slot = this->slots[static_cast<std::size_t>(index) % kSlots];
  if (slot.index != index) {
    slot = Slot{index, 0, 0};
  }
  return slot;
}

}  // namespace masticpin
