#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/tcp_acceptor_observer.h"

namespace masticpin {

/// Accepts connections at one address. Goes on after a failure, usually a lack of descriptors, with
/// a pause.
class TcpAcceptor : private TimerSubscriber {
 public:
  /// All arguments must outlive the acceptor.
  TcpAcceptor(boost::asio::io_context& loop,
              TcpAcceptorObserver& observer,
              const Clock& clock,
              TimerService& timers);

  /// Returns an error text if the address cannot be bound, or an empty text.
  std::string Listen(const SocketAddress& address);

  /// Accepts no more connections.
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
