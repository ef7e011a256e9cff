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
  /// Maximum time from the arrival at the ingress node to the response.
  Duration deadline{};
  /// Maximum number of attempts that one action may cause in the whole call chain; never below
  /// `cost`.
  std::uint32_t attempts = 0;
  /// Maximum number of tries of a caller for one action.
  std::uint32_t caller_tries = 0;
  /// Kinds of the inner calls. A kind that is listed twice is called twice.
  std::vector<KindRef> calls;
  /// Minimum number of attempts of a complete call chain, including the one of this kind itself.
  /// Computed from `calls`.
  std::uint32_t cost = 1;
};

}  // namespace masticpin
