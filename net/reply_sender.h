#pragma once

#include "masticpin/base/instance_id.h"
#include "masticpin/execution/execution.pb.h"

namespace masticpin {

/// Sends the replies of an executor to the home nodes.
class ReplySender {
 public:
  virtual ~ReplySender() = default;

  /// The implementation must not call into the executor before it returns.
  virtual void SendReply(const InstanceId& home, const wire::ExecuteReply& reply) = 0;
};

}  // namespace masticpin
