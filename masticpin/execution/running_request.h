#pragma once

#include <cstdint>

#include "masticpin/admission/priority.h"

namespace masticpin {

/// A request that the own instance runs, as far as the calls that it causes are concerned.
struct RunningRequest {
  /// Calls of the request have its rank and the next higher importance.
  Priority priority;
  /// An earlier attempt reached an instance, so that the calls of this one are repeats too.
  bool repeated = false;
  std::uint32_t inner_calls = 0;
  /// A call was refused for load, here or deeper in the chain.
  bool chain_refused = false;
  /// A call failed for any reason.
  bool chain_failed = false;
};

}  // namespace masticpin
