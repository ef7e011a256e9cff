#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// A raw TCP client of a test.
class RawCaller {
 public:
  RawCaller(boost::asio::io_context& loop, const SocketAddress& address);

  void Send(const std::string& bytes);
  void Close();

  /// All bytes that arrived.
  const std::string& Received() const { return this->state->received; }
  bool IsClosedByPeer() const { return this->state->closed_by_peer; }

  /// Number of complete responses with a Content-Length that arrived.
  int ResponseCount() const;

 private:
  // Outlives the caller while a read is pending.
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
