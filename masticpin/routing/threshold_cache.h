#pragma once

#include <cstdint>
#include <unordered_map>

#include "masticpin/admission/priority.h"
#include "masticpin/base/clock.h"

namespace masticpin {

/// Admission thresholds of other instances, by incarnation. Not thread-safe.
class ThresholdCache {
 public:
  explicit ThresholdCache(const Clock& clock) : clock(clock) {}

  /// Stores the threshold (Priority::Packed()) that an instance reported now.
  void Update(std::uint64_t incarnation, std::uint32_t threshold);

  /// Whether the instance admits `priority` as far as is known; true if its threshold is too old.
  bool Admits(std::uint64_t incarnation, Priority priority) const;

  /// Like Admits(), but lets one refused request in sixteen through as a probe. Called once for
  /// each request that would be sent; false means that the sender refuses it.
  bool ShouldSend(std::uint64_t incarnation, Priority priority);

  void Forget(std::uint64_t incarnation);

  /// Forgets all thresholds, after a pause of the process.
  void Clear();

 private:
  struct Entry {
    TimePoint updated_at;
    std::uint32_t threshold = 0;
    std::uint32_t refused = 0;
  };

  const Clock& clock;
  std::unordered_map<std::uint64_t, Entry> entries;
};

}  // namespace masticpin
