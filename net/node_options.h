#pragma once

#include <cstddef>
#include <string>

#include "masticpin/base/time.h"

namespace masticpin {

/// Settings of a Node.
struct NodeOptions {
  /// Name of the instance, unique in the deployment.
  std::string name;
  std::string service;
  /// Availability zone.
  std::string zone;
  /// "ip:port" towards callers and the own upstream.
  std::string http_address;
  /// "ip:port" towards other nodes.
  std::string peer_address;
  /// "ip:port" of the upstream.
  std::string upstream_address;
  /// "ip:port" of the platform's services.
  std::string platform_address;
  /// Name of the document that holds the manifest.
  std::string document = "manifest";
  /// CURVE keys of the deployment in Z85; empty for plaintext on loopback.
  std::string public_key;
  std::string secret_key;
  /// Bound on the callers' connections.
  std::size_t max_connections = 600;
  /// Time between two reads of the platform's list of instances in a small fleet.
  Duration list_period = std::chrono::seconds(2);
  /// Reads of the list per second that all nodes together make at most; the period grows with the
  /// fleet.
  double list_fleet_rate = 200;
  /// A stopping node still answers for this time, so that peers which did not hear of its departure
  /// get a truthful refusal. It is the bound on new requests to a leaving server.
  Duration leave_notice = std::chrono::seconds(3);
};

}  // namespace masticpin
