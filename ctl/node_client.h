#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// What a node answered.
struct NodeResponse {
  int status = 0;
  std::string body;
};

/// Sends requests of the operators to nodes.
class NodeClient {
 public:
  /// `timeout` bounds the connect, and each read and write, of one request.
  explicit NodeClient(std::chrono::milliseconds timeout) : timeout(timeout) {}

  /// Returns the response of the node to a GET, or nothing, with the reason in `error`.
  std::optional<NodeResponse> Get(const SocketAddress& address,
                                  const std::string& path,
                                  std::string& error) const;

  /// Same for a POST without a body.
  std::optional<NodeResponse> Post(const SocketAddress& address,
                                   const std::string& path,
                                   std::string& error) const;

 private:
  std::chrono::milliseconds timeout;
};

}  // namespace masticpin
