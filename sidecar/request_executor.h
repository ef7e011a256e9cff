#pragma once

#include <cstdint>

#include "masticpin/wire/peer_frame.pb.h"
#include "sidecar/execution_observer.h"

namespace masticpin {

/// Where requests are executed: this node's own instance, or another node.
class RequestExecutor {
 public:
  virtual ~RequestExecutor() = default;

  /// Starts the execution. `request.call()` must be unique in this process. The observer must live
  /// until it is called or the execution is cancelled.
  virtual void Execute(wire::ExecutionRequest request, ExecutionObserver& observer) = 0;

  /// Ends the execution without a callback. A request that waits is not run any more; one that runs
  /// is broken off if it is idempotent.
  virtual void Cancel(std::uint64_t call) = 0;
};

}  // namespace masticpin
