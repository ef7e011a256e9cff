#include "ctl/node_client.h"

#include <httplib.h>

namespace masticpin {
namespace {

httplib::Client MakeClient(const SocketAddress& address, std::chrono::milliseconds timeout) {
  httplib::Client client(address.ip, address.port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  return client;
}

std::optional<NodeResponse> ToResponse(const httplib::Result& result, std::string& error) {
  if (!result) {
    error = "no response from the node (" + httplib::to_string(result.error()) + ")";
    return std::nullopt;
  }
  return NodeResponse{result->status, result->body};
}

}  // namespace

std::optional<NodeResponse> NodeClient::Get(const SocketAddress& address,
                                            const std::string& path,
                                            std::string& error) const {
  return ToResponse(MakeClient(address, this->timeout).Get(path), error);
}

std::optional<NodeResponse> NodeClient::Post(const SocketAddress& address,
                                             const std::string& path,
                                             std::string& error) const {
  return ToResponse(MakeClient(address, this->timeout).Post(path), error);
}

}  // namespace masticpin
