#pragma once

#include <cstdint>

namespace masticpin {

/// Receives what an AllotmentExchange learns about other nodes.
class AllotmentExchangeObserver {
 public:
  virtual ~AllotmentExchangeObserver() = default;

  /// Called with the version of the configuration that another node has in force.
  virtual void OnPeerConfigurationVersion(std::uint64_t version) = 0;
};

}  // namespace masticpin
