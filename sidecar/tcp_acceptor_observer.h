#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace masticpin {

/// Receives the connections of an acceptor.
class TcpAcceptorObserver {
 public:
  virtual ~TcpAcceptorObserver() = default;

  virtual void OnConnection(boost::asio::ip::tcp::socket socket) = 0;
};

}  // namespace masticpin
