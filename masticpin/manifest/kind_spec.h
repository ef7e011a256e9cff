#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "masticpin/base/time.h"
#include "masticpin/manifest/kind_ref.h"

namespace masticpin {

/// The manifest's rules for one request kind.
struct KindSpec {
  std::string service;
  std::string name;
  /// From 0 (refused first) to 9 (refused last).
  std::uint8_t importance = 0;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Whether a request from a caller needs an Idempotency-Key.
  bool key_required = true;
  /// Longest time from the arrival at the ingress node to the response.
  Duration deadline{};
  /// Bound on the dispatches that one action causes in the whole call chain; never below `cost`.
  std::uint32_t attempts = 0;
  /// Bound on how often a caller may repeat one action.
  std::uint32_t caller_tries = 0;
  /// Inner calls. A kind that is listed twice is called twice.
  std::vector<KindRef> calls;
  /// Number of dispatches in the cheapest complete call tree, this kind included. Computed.
  std::uint32_t cost = 1;
};

}  // namespace masticpin
