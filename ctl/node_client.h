#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// The HTTP response of a node.
struct NodeResponse {
  int status = 0;
  std::string body;
};

/// Sends operators' requests to nodes.
class NodeClient {
 public:
  /// `timeout` applies to the connect, and to each read and write, of one request.
  explicit NodeClient(std::chrono::milliseconds timeout) : timeout(timeout) {}

  /// Sends a GET. Returns the response of the node, or no value, with the reason in `error`.
  std::optional<NodeResponse> Get(const SocketAddress& address,
                                  const std::string& path,
                                  std::string& error) const;

  /// Sends a POST without a body; otherwise like Get().
  std::optional<NodeResponse> Post(const SocketAddress& address,
                                   const std::string& path,
                                   std::string& error) const;

 private:
  std::chrono::milliseconds timeout;
};

}  // namespace masticpin
