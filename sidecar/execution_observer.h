#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Receives the result of one execution: one call of OnExecutionReply() or OnExecutionLost(),
/// unless the execution was cancelled. Both may be called from within RequestExecutor::Execute().
class ExecutionObserver {
 public:
  virtual ~ExecutionObserver() = default;

  virtual void OnExecutionReply(wire::ExecutionReply reply) = 0;

  /// Called when the executing node is unreachable (kUpstreamUnreachable: it never received the
  /// request) or the connection to it was lost (kPeerLost: it may have run the request).
  virtual void OnExecutionLost(ErrorKind kind, std::string_view reason) = 0;

  /// Called when the executing node has been silent for a while. The execution goes on: its reply
  /// may still come, and the end of the connection is still reported. The observer may cancel it.
  virtual void OnExecutionStalled() = 0;
};

}  // namespace masticpin
