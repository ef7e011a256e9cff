#pragma once

#include <cstdint>

namespace masticpin {

/// Requests of one client account at one node since its last report.
struct AllotmentReport {
  /// See AccountId().
  std::uint64_t account = 0;
  /// All requests, also those that were refused.
  std::uint32_t offered = 0;
  /// Requests that the node admitted by itself, less those that were refused later and have not
  /// run; may be negative.
  std::int32_t admitted = 0;
  /// Requests that wait for the decision of the owner.
  std::uint32_t asked = 0;
};

}  // namespace masticpin
