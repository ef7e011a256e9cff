#pragma once

#include <cstdint>

#include "masticpin/wire/peer_frame.pb.h"
#include "sidecar/execution_observer.h"
#include "sidecar/message_body.h"

namespace masticpin {

/// Executes requests: at the local instance, or at a peer.
class RequestExecutor {
 public:
  virtual ~RequestExecutor() = default;

  /// Starts the execution. `request.call()` must be unique in this process. `body` is that of the
  /// request, whose own field is empty; nullptr if it has none. The observer must outlive the
  /// execution: until it is called or the execution is cancelled.
  virtual void Execute(wire::ExecutionRequest request,
                       Ref<const MessageBody> body,
                       ExecutionObserver& observer) = 0;

  /// Ends the execution without a callback. A waiting request is not run; a running one is aborted
  /// if it is idempotent.
  virtual void Cancel(std::uint64_t call) = 0;
};

}  // namespace masticpin
