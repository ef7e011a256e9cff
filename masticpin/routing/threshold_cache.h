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

  /// Stores the threshold (Priority::Packed()) that an instance has just reported.
  void Update(std::uint64_t incarnation, std::uint32_t threshold);

  /// Whether the instance is expected to admit `priority`; true if its threshold is unknown or too
  /// old.
  bool Admits(std::uint64_t incarnation, Priority priority) const;

  /// Like Admits(), but also returns true for one in sixteen refused requests, which tests whether
  /// the threshold still applies. Must be called once for each request that would be sent; if the
  /// result is false, the sender refuses the request.
  bool ShouldSend(std::uint64_t incarnation, Priority priority);

  void Forget(std::uint64_t incarnation);

  /// Discards all thresholds; called after a pause of the process.
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
