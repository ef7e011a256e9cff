#pragma once

#include <string_view>

#include "masticpin/routing/load_report.h"

namespace masticpin {

/// Is told what a connection to another node shows about it.
class PeerLinkObserver {
 public:
  virtual ~PeerLinkObserver() = default;

  virtual void OnPeerLoad(std::string_view instance, const LoadReport& load) = 0;

  /// The node is about to stop.
  virtual void OnPeerLeaving(std::string_view instance) = 0;

  /// The connection to the node has ended or could not be made.
  virtual void OnPeerClosed(std::string_view instance) = 0;
};

}  // namespace masticpin
