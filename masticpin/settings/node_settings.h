#pragma once

#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// Settings of one node process. docs/settings.md describes the keys.
struct NodeSettings {
  /// Name of the instance, unique in the deployment.
  std::string name;
  /// Service of the upstream.
  std::string service;
  /// Availability zone.
  std::string zone;
  /// Where the node accepts callers.
  SocketAddress http_address;
  /// Where the node accepts other nodes.
  SocketAddress peer_address;
  SocketAddress upstream_address;
  /// The configuration service and the list of instances.
  SocketAddress platform_address;
  /// Name of the configuration document.
  std::string document;

  /// Whether messages between nodes are neither encrypted nor authenticated.
  bool plaintext = false;
  /// CURVE keys in Z85; empty with plaintext.
  std::string public_key;
  std::string secret_key;

  /// A level name of spdlog.
  std::string log_level;
  /// Empty for standard error.
  std::string log_file;
};

}  // namespace masticpin
