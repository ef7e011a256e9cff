#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"

namespace masticpin {

enum class InstanceState : std::uint8_t {
  kReady,
  /// Finishes what it runs; gets no new requests.
  kDraining,
};

/// One instance as the platform's registry lists it.
struct UpstreamInstance {
  /// Unique among all instances that ever ran.
  std::string name;
  std::string service;
  std::string zone;
  /// Where the instance itself listens. Only its own machine reaches this address; the node beside
  /// it has the same IP address.
  SocketAddress address;
  /// Start of the process in milliseconds of the wall clock; a new value is a new process.
  std::uint64_t incarnation = 0;
  /// Requests that it processes concurrently.
  std::uint32_t slots = 1;
  InstanceState state = InstanceState::kReady;
  /// How much longer it stays slow after its start.
  Duration cold_remaining{};
  /// Revision of the registry at which the instance was first listed. Of two instances with one
  /// address, the one that was listed later is there; wall clocks may disagree about that.
  std::uint64_t listed_revision = 0;
  /// Revision of the registry at which this entry was written.
  std::uint64_t revision = 0;
};

}  // namespace masticpin
