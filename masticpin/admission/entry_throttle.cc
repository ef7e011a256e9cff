#include "masticpin/admission/entry_throttle.h"

#include <algorithm>
#include <cmath>

namespace masticpin {
namespace {

/// Maximum number of growth steps applied at once. Without it, the admitted share could rise to 1
/// in one step after a long time without requests.
constexpr double kMaxGrowthSteps = 4;

}  // namespace

bool EntryThrottle::Admit(std::uint16_t rank) {
  this->Update();
  constexpr double kRanks = 65536;
  return rank >= this->RefusalShare() * kRanks;
}

void EntryThrottle::OnEnd(TimePoint admitted_at, bool refused) {
  if (admitted_at < this->last_decrease) {
    return;
  }
  ++this->ended;
  if (refused) {
    ++this->refused_chains;
  }
  this->Update();
}

void EntryThrottle::Update() {
  const TimePoint now = this->clock.Now();
  const Duration age = now - this->interval_start;
  if (age < this->settings.interval ||
      (this->ended < this->settings.min_requests && age < this->settings.max_interval)) {
    return;
  }
  const double failed =
      this->ended == 0 ? 0 : this->refused_chains / static_cast<double>(this->ended);
  if (failed > this->settings.refusal_tolerance) {
    this->sustained_share = this->admitted_share * (1 - failed);
    this->admitted_share = std::max(this->sustained_share, this->settings.min_share);
    this->last_decrease = now;
  } else {
    // Routes with few requests have longer intervals; their share must not grow more slowly.
    const std::chrono::duration<double> elapsed = age;
    const std::chrono::duration<double> interval = this->settings.interval;
    const double steps = std::min(elapsed / interval, kMaxGrowthSteps);
    this->admitted_share =
        std::min(this->admitted_share * std::pow(this->GrowthFactor(now), steps), 1.0);
  }
  this->interval_start = now;
  this->ended = 0;
  this->refused_chains = 0;
}

double EntryThrottle::GrowthFactor(TimePoint now) const {
  if (this->admitted_share < this->sustained_share) {
    return this->settings.max_growth_factor;
  }
  const std::chrono::duration<double> since = now - this->last_decrease;
  return std::min(1 + this->settings.growth_after_one_second * since.count() * since.count(),
                  this->settings.max_growth_factor);
}

}  // namespace masticpin
