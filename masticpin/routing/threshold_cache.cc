#include "masticpin/routing/threshold_cache.h"

namespace masticpin {

namespace {

// Age from which a threshold is ignored: by then the queue that it reflects has been processed.
constexpr Duration kThresholdMaxAge = std::chrono::milliseconds(250);

// One in this many refused requests is sent anyway, and its response carries a new load report.
// Otherwise no report would replace an outdated threshold while all requests are below it.
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
