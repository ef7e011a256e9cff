#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// A raw TCP client for tests.
class RawCaller {
 public:
  RawCaller(boost::asio::io_context& loop, const SocketAddress& address);

  void Send(const std::string& bytes);
  void Close();

  /// All bytes received so far.
  const std::string& Received() const { return this->state->received; }
  bool IsClosedByPeer() const { return this->state->closed_by_peer; }

  /// Number of complete responses received so far. A response without Content-Length counts as one
  /// without a body.
  int ResponseCount() const;

 private:
  // Shared with the pending read, which may outlive the caller.
  struct State {
    explicit State(boost::asio::io_context& loop) : socket(loop) {}
    boost::asio::ip::tcp::socket socket;
    std::string received;
    bool closed_by_peer = false;
    char buffer[4096];
  };

  static void Read(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state;
};

}  // namespace masticpin
