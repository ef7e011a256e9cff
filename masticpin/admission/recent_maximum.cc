#include "masticpin/admission/recent_maximum.h"

#include <algorithm>

namespace masticpin {

void RecentMaximum::Add(Duration duration) {
  this->Advance();
  std::optional<Duration>& current = this->halves[0];
  current = std::max(current.value_or(duration), duration);
}

std::optional<Duration> RecentMaximum::Get() {
  this->Advance();
  // An empty optional is less than any value.
  return std::max(this->halves[0], this->halves[1]);
}

void RecentMaximum::Advance() {
  const Duration age = this->clock.Now() - this->half_start;
  if (age < this->half_window) {
    return;
  }
  const bool next_half = age < 2 * this->half_window;
  this->halves[1] = next_half ? this->halves[0] : std::nullopt;
  this->halves[0].reset();
  this->half_start = next_half ? this->half_start + this->half_window : this->clock.Now();
}

}  // namespace masticpin
