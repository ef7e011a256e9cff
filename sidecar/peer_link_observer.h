#pragma once

#include <string_view>

#include "masticpin/routing/load_report.h"

namespace masticpin {

/// Receives what a connection to a peer shows about the peer's state.
class PeerLinkObserver {
 public:
  virtual ~PeerLinkObserver() = default;

  virtual void OnPeerLoad(std::string_view instance, const LoadReport& load) = 0;

  /// Called with the version of the configuration that the peer has in force.
  virtual void OnPeerConfigurationVersion(std::uint64_t version) = 0;

  /// Called when the peer is about to shut down.
  virtual void OnPeerLeaving(std::string_view instance) = 0;

  /// Called when the peer has been silent for a while. `host_responds` says whether its host
  /// acknowledges what it is sent, so that its process is only paused or slow.
  virtual void OnPeerSilent(std::string_view instance, bool host_responds) = 0;

  /// Called when the connection to the peer has ended or could not be established.
  virtual void OnPeerClosed(std::string_view instance) = 0;
};

}  // namespace masticpin
