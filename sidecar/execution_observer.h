#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Gets the end of one execution. Exactly one of the methods is called, once, unless the execution
/// was cancelled. Both may be called from within ExecutionTarget::Execute().
class ExecutionObserver {
 public:
  virtual ~ExecutionObserver() = default;

  virtual void OnExecutionReply(const wire::ExecutionReply& reply) = 0;

  /// The node that has the request cannot be reached (kUpstreamUnreachable: it never got it) or was
  /// lost (kPeerLost: it may have run it).
  virtual void OnExecutionLost(ErrorKind kind, std::string_view reason) = 0;
};

}  // namespace masticpin
