#pragma once

#include <string>

#include "masticpin/base/instance_id.h"
#include "masticpin/wire/envelope.pb.h"

namespace masticpin {

/// Sends envelopes to other nodes. Delivery is not guaranteed, and failures are not reported.
class EnvelopeSender {
 public:
  virtual ~EnvelopeSender() = default;

  /// Fills in the common fields (sender, epoch, version, load) and sends `envelope`, of which only
  /// the body has to be set. Implementations must not call back into the caller before Send()
  /// returns.
  virtual void Send(const InstanceId& to, wire::Envelope envelope) = 0;

  /// Sends to an address that is not in the member table, to find out which node answers there.
  virtual void SendToEndpoint(const std::string& endpoint, wire::Envelope envelope) = 0;
};

}  // namespace masticpin
