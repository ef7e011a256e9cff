#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/tcp_acceptor_observer.h"

namespace masticpin {

/// Accepts connections at one address. After a failure, usually a lack of file descriptors, it
/// continues after a delay.
class TcpAcceptor : private TimerSubscriber {
 public:
  /// All arguments must outlive the acceptor.
  TcpAcceptor(boost::asio::io_context& loop,
              TcpAcceptorObserver& observer,
              const Clock& clock,
              TimerService& timers);

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string Listen(const SocketAddress& address);

  /// Stops accepting connections.
  void Stop();

 private:
  void OnTimer(TimePoint now) override;
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  TcpAcceptorObserver& observer;
  const Clock& clock;
  TimerService& timers;
};

}  // namespace masticpin
