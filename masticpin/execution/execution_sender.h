#pragma once

#include "masticpin/base/instance_id.h"
#include "masticpin/execution/execution.pb.h"

namespace masticpin {

/// Sends messages to executors. Messages may be lost. An implementation must not call back
/// synchronously.
class ExecutionSender {
 public:
  virtual ~ExecutionSender() = default;

  virtual void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) = 0;
  virtual void SendCancel(const InstanceId& executor, const wire::CancelRequest& request) = 0;
};

}  // namespace masticpin
