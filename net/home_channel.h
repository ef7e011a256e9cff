#pragma once

#include "masticpin/base/instance_id.h"
#include "masticpin/execution/execution.pb.h"

namespace masticpin {

/// Forwards callers' requests to the home nodes of their keys, and the responses back.
class HomeChannel {
 public:
  virtual ~HomeChannel() = default;

  virtual void SendHomeRequest(const InstanceId& home, wire::HomeRequest request) = 0;
  virtual void SendHomeReply(const InstanceId& ingress, wire::HomeReply reply) = 0;
};

}  // namespace masticpin
