#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Receives the result of one execution. Exactly one of the methods is called, once, unless the
/// execution was cancelled. Both may be called from within RequestExecutor::Execute().
class ExecutionObserver {
 public:
  virtual ~ExecutionObserver() = default;

  virtual void OnExecutionReply(const wire::ExecutionReply& reply) = 0;

  /// Called when the executing node is unreachable (kUpstreamUnreachable: it never received the
  /// request) or the connection to it was lost (kPeerLost: it may have run the request).
  virtual void OnExecutionLost(ErrorKind kind, std::string_view reason) = 0;
};

}  // namespace masticpin
