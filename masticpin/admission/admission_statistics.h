#pragma once

#include <cstdint>

namespace masticpin {

/// Counters of an AdmissionController since its start.
struct AdmissionStatistics {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t withdrawn = 0;
  /// Refused at the maximum queue wait, or evicted.
  std::uint64_t refused_overloaded = 0;
  /// Refused because the queue was full; included in `refused_overloaded`.
  std::uint64_t evicted = 0;
  std::uint64_t refused_expired = 0;
  std::uint64_t refused_unreachable = 0;
  std::uint64_t refused_draining = 0;
  /// Completions by kind.
  std::uint64_t succeeded = 0;
  std::uint64_t shed = 0;
  std::uint64_t failed = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t cancelled = 0;
};

}  // namespace masticpin
