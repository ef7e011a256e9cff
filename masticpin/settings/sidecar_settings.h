#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "masticpin/accounts/allotment_tolerance.h"
#include "masticpin/attempts/instance_retry_budget.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// Settings of a sidecar process. docs/settings-sidecar.md describes the keys.
struct SidecarSettings {
  /// Name of the machine, for logs.
  std::string name;
  /// Service of the local instance.
  std::string service;
  /// Availability zone.
  std::string zone;
  /// Address at which the node accepts requests from callers and the local instance.
  SocketAddress request_address;
  /// Address at which the node accepts requests from other nodes for the local instance.
  SocketAddress peer_address;
  /// Address at which the platform checks whether the node is ready.
  SocketAddress ready_address;
  /// Address at which metrics are served.
  SocketAddress metrics_address;
  SocketAddress upstream_address;
  /// Address of the platform's store, which holds the configuration and the instances.
  SocketAddress registry_address;

  /// Memory limit of the process in MB; the process is killed from outside when it exceeds this.
  std::size_t memory_mb = 256;
  /// Maximum time from a stop request to the end of the process.
  Duration stop_time = std::chrono::seconds(6);
  /// Maximum time from the announcement that an instance is shutting down until it receives no
  /// further requests.
  Duration leave_notice_time = std::chrono::seconds(2);
  /// Retry budget that all nodes share.
  InstanceRetryBudgetSettings retries;

  /// Address at which nodes exchange reports about the allotments of client accounts, as datagrams.
  /// Without it, each node admits an equal share of each allotment.
  std::optional<SocketAddress> allotment_address;
  AllotmentTolerance allotment_tolerance;
  /// Share of the requests of every route that has the highest importance, so that under a long
  /// overload some requests of each route are served; 0 for none.
  double minimum_share = 0;
  /// Whether the node measures the work times of the local instance, reports them to the nodes of
  /// callers, and chooses instances by their speed.
  bool learn_speed = false;

  /// Name of an spdlog level.
  std::string log_level;
  /// Maximum number of log lines per second about single requests; further lines are only counted.
  std::size_t log_lines_per_second = 200;
};

}  // namespace masticpin
