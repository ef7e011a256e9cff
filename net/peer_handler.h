#pragma once

#include <string>

#include "masticpin/wire/envelope.pb.h"

namespace masticpin {

/// Receives messages from other nodes.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  /// Called on the transport's thread for each message.
  virtual void OnEnvelope(const wire::Envelope& envelope) = 0;

  /// Called on the transport's thread when a message could not be handed to the network: it was not
  /// sent and never will be.
  virtual void OnSendFailed(const std::string& endpoint, const wire::Envelope& envelope) = 0;

  /// Called on the transport's thread for a message that is too large or not an Envelope.
  virtual void OnMalformed(std::size_t bytes) = 0;
};

}  // namespace masticpin
