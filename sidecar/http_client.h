#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>

#include "masticpin/admission/body_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_call.h"
#include "sidecar/http_call_observer.h"
#include "sidecar/http_client_connection.h"
#include "sidecar/http_client_settings.h"

namespace masticpin {

/// Sends requests to one server over persistent connections.
class HttpClient {
 public:
  /// `loop`, `clock` and `timers` must outlive the client.
  HttpClient(boost::asio::io_context& loop,
             const Clock& clock,
             TimerService& timers,
             SocketAddress address,
             const HttpClientSettings& settings = {});
  ~HttpClient();

  /// Starts a call. Until the observer is called, the returned connection can be closed to abort
  /// it.
  Ref<HttpClientConnection> Call(HttpCall call, HttpCallObserver& observer);

  /// Sets the maximum size of the body of one response, in bytes. Applies to later calls.
  void SetMaxBodyBytes(std::size_t bytes) { this->max_body_bytes = bytes; }

  /// Closes all idle connections. Used when the server at the address has been replaced.
  void CloseIdle();

  /// Total number of connections opened.
  std::uint64_t OpenedConnections() const { return this->opened; }

 private:
  friend class HttpClientConnection;

  using ConnectionList =
      boost::intrusive::list<HttpClientConnection, boost::intrusive::constant_time_size<false>>;

  void OnIdle(HttpClientConnection& connection);

  /// Returns an idle connection on which the call may be sent, or nullptr.
  HttpClientConnection* FindReusable(const HttpCall& call);

  boost::asio::io_context& loop;
  const Clock& clock;
  TimerService& timers;
  const SocketAddress address;
  const HttpClientSettings settings;
  std::size_t max_body_bytes;
  /// Account of the bodies that are being received, if the settings name none.
  BodyMemory own_memory;
  BodyMemory& memory;
  /// Most recently used first, so that surplus connections stay idle until the server closes them.
  ConnectionList idle;
  std::uint64_t opened = 0;
};

}  // namespace masticpin
