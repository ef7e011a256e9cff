#include "masticpin/routing/threshold_cache.h"

namespace masticpin {

namespace {

// A threshold older than this says nothing: the queue behind it drains within such a time.
constexpr Duration kThresholdMaxAge = std::chrono::milliseconds(250);

// One refused request in this many is sent anyway, so that a threshold that is renewed by nothing
// but refusals cannot persist.
constexpr std::uint32_t kProbeInterval = 16;

}  // namespace

void ThresholdCache::Update(std::uint64_t incarnation, std::uint32_t threshold) {
  Entry& entry = this->entries[incarnation];
  entry.updated_at = this->clock.Now();
  entry.threshold = threshold;
}

bool ThresholdCache::Admits(std::uint64_t incarnation, Priority priority) const {
  const auto entry = this->entries.find(incarnation);
  return entry == this->entries.end() || priority.Packed() >= entry->second.threshold ||
         this->clock.Now() - entry->second.updated_at >= kThresholdMaxAge;
}

bool ThresholdCache::ShouldSend(std::uint64_t incarnation, Priority priority) {
  if (this->Admits(incarnation, priority)) {
    return true;
  }
  return ++this->entries[incarnation].refused % kProbeInterval == 0;
}

void ThresholdCache::Forget(std::uint64_t incarnation) {
  this->entries.erase(incarnation);
}

void ThresholdCache::Clear() {
  this->entries.clear();
}

}  // namespace masticpin
