#pragma once

#include <cstddef>
#include <string>

#include "masticpin/attempts/instance_retry_budget.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// Settings of one sidecar process. docs/settings-sidecar.md describes the keys.
struct SidecarSettings {
  /// Name of the machine, for logs.
  std::string name;
  /// Service of the own instance.
  std::string service;
  /// Availability zone.
  std::string zone;
  /// Where callers and the own instance send requests.
  SocketAddress request_address;
  /// Where other nodes send requests for the own instance.
  SocketAddress peer_address;
  /// Where the platform asks whether the node is ready.
  SocketAddress ready_address;
  /// Where metrics are served.
  SocketAddress metrics_address;
  SocketAddress upstream_address;
  /// The platform's store of configuration and instances.
  SocketAddress registry_address;

  /// Memory of the process in MB above which it is ended from outside.
  std::size_t memory_mb = 256;
  /// Time from a request to stop to the end of the process.
  Duration stop_time = std::chrono::seconds(6);
  /// Time within which a leaving instance must get no more requests.
  Duration leave_notice_time = std::chrono::seconds(2);
  /// The retry budget that all nodes share.
  InstanceRetryBudgetSettings retries;

  /// A level name of spdlog.
  std::string log_level;
  /// Most log lines a second about single requests; the rest is counted.
  std::size_t log_lines_per_second = 200;
};

}  // namespace masticpin
