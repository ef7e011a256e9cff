#include "masticpin/attempts/sender_retry_budget.h"

namespace masticpin {
namespace {

using std::chrono::seconds;

// One retry per ten first attempts: if everything fails, the load of the fleet rises by 10%.
constexpr std::uint64_t kFirstAttemptsPerRetry = 10;

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<seconds>(time.time_since_epoch()).count();
}

}  // namespace

void SenderRetryBudget::OnFirstAttempt() {
  ++this->CurrentSlot(SecondOf(this->clock.Now())).first_attempts;
}

bool SenderRetryBudget::TryRetry() {
  const TimePoint now = this->clock.Now();
  const std::int64_t second = SecondOf(now);
  Slot& current = this->CurrentSlot(second);

  // Sum up the window; slots that were not used in the last 10 s contain an older second.
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  for (const Slot& slot : this->slots) {
    if (slot.second > second - static_cast<std::int64_t>(kSlots)) {
      first_attempts += slot.first_attempts;
      retries += slot.retries;
    }
  }

  // A node with few requests may still send one retry per second.
  const bool within_ratio = (retries + 1) * kFirstAttemptsPerRetry <= first_attempts;
  if (!within_ratio && now < this->next_guaranteed_retry) {
    return false;
  }
  this->next_guaranteed_retry = now + seconds(1);
  ++current.retries;
  return true;
}

SenderRetryBudget::Slot& SenderRetryBudget::CurrentSlot(std::int64_t second) {
  Slot& slot = this->slots[static_cast<std::size_t>(second) % kSlots];
  if (slot.second != second) {
    slot = Slot{.second = second, .first_attempts = 0, .retries = 0};
  }
  return slot;
}

}  // namespace masticpin
