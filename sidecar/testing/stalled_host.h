#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// A server whose host stops acknowledging after a few kilobytes, like one behind a cut link: the
/// receive buffer is small and nothing is read. The rest of what a client writes stays in the
/// buffer of the client's kernel.
class StalledHost {
 public:
  /// Listens at `port` of `ip`, or at a free port if `port` is 0. Accepts one connection.
  StalledHost(boost::asio::io_context& loop, const std::string& ip, std::uint16_t port = 0);

  const SocketAddress& Address() const { return this->address; }

  /// Whether a client has connected.
  bool IsConnected() const { return this->socket.is_open(); }

  /// Sends `bytes` to the client.
  void Send(const std::string& bytes);

  /// Reads from now on, like a host whose link works again.
  void Resume();

  /// All bytes that were read.
  const std::string& Received() const { return this->received; }
  /// Whether the client has closed or reset the connection.
  bool IsClosedByPeer() const { return this->closed_by_peer; }

 private:
  void Read();

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket socket;
  SocketAddress address;
  std::string received;
  bool closed_by_peer = false;
  char buffer[4096];
};

}  // namespace masticpin
