#pragma once

#include <cstdint>

namespace masticpin {

/// Decision of an AllotmentLimiter about a request.
enum class AllotmentDecision : std::uint8_t {
  kAdmitted,
  kRefused,
  /// The request waits for the answer of the owner of the allotment.
  kAsked,
};

}  // namespace masticpin
