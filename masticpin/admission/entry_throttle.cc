#include "masticpin/admission/entry_throttle.h"

#include <algorithm>
#include <cmath>

namespace masticpin {

bool EntryThrottle::Admit(std::uint16_t rank) {
  this->Decay();
  constexpr double kRanks = 65536;
  if (rank >= this->RefusalShare() * kRanks) {
    return true;
  }
  this->requests += 1;
  return false;
}

void EntryThrottle::OnEnd(bool refused) {
  this->Decay();
  this->requests += 1;
  if (!refused) {
    this->served += 1;
  }
}

double EntryThrottle::RefusalShare() const {
  if (this->requests < this->settings.least_requests) {
    return 0;
  }
  const double excess = this->requests - this->settings.probe_ratio * this->served;
  return std::clamp(excess / (this->requests + 1), 0.0, this->settings.largest_refusal);
}

void EntryThrottle::Decay() {
  const TimePoint now = this->clock.Now();
  const std::chrono::duration<double> elapsed = now - this->decayed_at;
  const std::chrono::duration<double> window = this->settings.window;
  const double factor = std::exp(-elapsed.count() / window.count());
  this->requests *= factor;
  this->served *= factor;
  this->decayed_at = now;
}

}  // namespace masticpin
