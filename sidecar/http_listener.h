#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "masticpin/admission/body_memory_reclaimer.h"
#include "masticpin/admission/message_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_handler.h"
#include "sidecar/http_session.h"
#include "sidecar/tcp_acceptor.h"

namespace masticpin {

/// Accepts connections of callers at one address. Ends those that hold memory or a descriptor and
/// make no progress if others need it.
class HttpListener : public BodyMemoryReclaimer, private TcpAcceptorObserver {
 public:
  /// All references must outlive the listener. At most `max_connections` are open at a time.
  HttpListener(boost::asio::io_context& loop,
               HttpHandler& handler,
               MessageMemory& memory,
               std::size_t max_connections,
               const Clock& clock,
               TimerService& timers);
  ~HttpListener() override;

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string Listen(const SocketAddress& address) { return this->acceptor.Listen(address); }

  /// Stops accepting connections.
  void Stop() { this->acceptor.Stop(); }

  /// Whether any connection is busy; see HttpSession::IsBusy().
  bool IsBusy();

  /// Calls HttpSession::EndBlockingRequests() for all connections.
  void EndBlockingRequests();

  /// Logs how many responses the exit of the process keeps from being sent.
  void LogUndelivered() const;

  bool Reclaim(BodyMemory& body_memory) override;

 private:
  /// Evicts the connection for which `since` returns the earliest time, if that is before `latest`.
  /// Returns false if there is none.
  bool EvictEarliest(std::optional<TimePoint> (HttpSession::*since)(),
                     TimePoint latest,
                     std::string_view reason);
  void OnConnection(boost::asio::ip::tcp::socket socket) override;

  TcpAcceptor acceptor;
  HttpHandler& handler;
  MessageMemory& memory;
  const std::size_t max_connections;
  const Clock& clock;
  TimerService& timers;
  boost::intrusive::list<HttpSession, boost::intrusive::constant_time_size<false>> sessions;
};

}  // namespace masticpin
