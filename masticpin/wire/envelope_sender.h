#pragma once

#include <string>

#include "masticpin/base/instance_id.h"
#include "masticpin/wire/envelope.pb.h"

namespace masticpin {

/// Sends envelopes to other nodes. Delivery is not guaranteed, and nothing is reported back.
class EnvelopeSender {
 public:
  virtual ~EnvelopeSender() = default;

  /// Fills in the common fields (sender, epoch, version, load) and sends `envelope`, of which only
  /// the body is set. Must not call back into the caller before it returns.
  virtual void Send(const InstanceId& to, wire::Envelope envelope) = 0;

  /// Sends to an address that the member table does not hold, to find out who answers there.
  virtual void SendToEndpoint(const std::string& endpoint, wire::Envelope envelope) = 0;
};

}  // namespace masticpin
