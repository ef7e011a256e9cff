#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>

#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_call.h"
#include "sidecar/http_call_observer.h"
#include "sidecar/http_client_connection.h"

namespace masticpin {

/// Calls one server over kept connections.
class HttpClient {
 public:
  /// `loop`, `clock` and `timers` must outlive the client.
  HttpClient(boost::asio::io_context& loop,
             const Clock& clock,
             TimerService& timers,
             SocketAddress address);
  ~HttpClient();

  /// Starts a call. The result can be used to abort it until the observer was called.
  Ref<HttpClientConnection> Call(HttpCall call, HttpCallObserver& observer);

  /// Closes all idle connections, because the server behind the address changed.
  void CloseIdle();

  /// Connections that were opened.
  std::uint64_t OpenedConnections() const { return this->opened; }

 private:
  friend class HttpClientConnection;

  using ConnectionList =
      boost::intrusive::list<HttpClientConnection, boost::intrusive::constant_time_size<false>>;

  void OnIdle(HttpClientConnection& connection);

  boost::asio::io_context& loop;
  const Clock& clock;
  TimerService& timers;
  const SocketAddress address;
  /// The connection that was used last stands in front, so that spare ones grow old and are closed
  /// by the server.
  ConnectionList idle;
  std::uint64_t opened = 0;
};

}  // namespace masticpin
