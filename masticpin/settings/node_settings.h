#pragma once

#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// Settings of a node process. docs/settings.md describes the keys.
struct NodeSettings {
  /// Name of the instance; unique in the deployment.
  std::string name;
  /// Service of the upstream.
  std::string service;
  /// Availability zone.
  std::string zone;
  /// Address at which the node accepts callers.
  SocketAddress http_address;
  /// Address at which the node accepts other nodes.
  SocketAddress peer_address;
  SocketAddress upstream_address;
  /// Address of the configuration service and the instance list.
  SocketAddress platform_address;
  /// Name of the configuration document.
  std::string document;

  /// Whether messages between nodes are neither encrypted nor authenticated.
  bool plaintext = false;
  /// CURVE keys in Z85; empty with plaintext.
  std::string public_key;
  std::string secret_key;

  /// Name of an spdlog level.
  std::string log_level;
  /// Empty for standard error.
  std::string log_file;
};

}  // namespace masticpin
