#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"
#include "masticpin/routing/registry_revision.h"

namespace masticpin {

enum class InstanceState : std::uint8_t {
  kReady,
  /// Finishes its running requests and gets no new ones.
  kDraining,
};

/// One instance as listed by the platform's registry.
struct UpstreamInstance {
  /// Unique among all instances that ever ran.
  std::string name;
  std::string service;
  std::string zone;
  /// Address at which the instance listens. It is only reachable from the same machine; the node of
  /// the instance has the same IP address.
  SocketAddress address;
  /// Start time of the process in milliseconds since the epoch (wall clock); a new value identifies
  /// a new process.
  std::uint64_t incarnation = 0;
  /// Number of requests that it processes concurrently.
  std::uint32_t slots = 1;
  InstanceState state = InstanceState::kReady;
  /// Remaining time of the cold phase, in which the instance is slow after its start.
  Duration cold_remaining{};
  /// Revision of the registry at which the instance was first listed. If two instances have the
  /// same address, the one that was listed later is the one that runs there; wall clocks may
  /// disagree about the order.
  RegistryRevision listed_revision;
  /// Revision of the registry at which this entry was written.
  RegistryRevision revision;
};

}  // namespace masticpin
