#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <string>

#include "masticpin/admission/body_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_handler.h"
#include "sidecar/http_session.h"
#include "sidecar/tcp_acceptor.h"

namespace masticpin {

/// Accepts connections of callers at one address.
class HttpListener : private TcpAcceptorObserver {
 public:
  /// All arguments must outlive the listener.
  HttpListener(boost::asio::io_context& loop,
               HttpHandler& handler,
               BodyMemory& body_memory,
               const Clock& clock,
               TimerService& timers);
  ~HttpListener() override;

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string Listen(const SocketAddress& address) { return this->acceptor.Listen(address); }

  /// Stops accepting connections.
  void Stop() { this->acceptor.Stop(); }

  /// Whether any connection is busy; see HttpSession::IsBusy().
  bool IsBusy();

 private:
  void OnConnection(boost::asio::ip::tcp::socket socket) override;

  TcpAcceptor acceptor;
  HttpHandler& handler;
  BodyMemory& body_memory;
  const Clock& clock;
  TimerService& timers;
  boost::intrusive::list<HttpSession, boost::intrusive::constant_time_size<false>> sessions;
};

}  // namespace masticpin
