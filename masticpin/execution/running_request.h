#pragma once

#include <cstdint>

#include "masticpin/admission/priority.h"
#include "masticpin/execution/inner_call_time.h"

namespace masticpin {

/// State of a request that the local instance is running, used for the inner calls of the request.
struct RunningRequest {
  /// Inner calls of the request get its rank and, if its importance is even, the next higher one.
  /// Odd importances are those of inner calls, whose inner calls keep the same importance.
  Priority priority;
  /// An earlier attempt reached an instance, so the inner calls of this attempt count as retries
  /// too.
  bool is_retry = false;
  std::uint32_t inner_calls = 0;
  /// Time in which the instance waited for inner calls, which is not its own work.
  InnerCallTime inner_call_time;
  /// An inner call was refused because of load, here or deeper in the call chain.
  bool chain_refused = false;
  /// An inner call failed for any reason.
  bool chain_failed = false;
};

}  // namespace masticpin
