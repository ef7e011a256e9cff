#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/circular_buffer.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_call.h"
#include "sidecar/http_call_observer.h"

namespace masticpin {

class HttpClient;

/// Hook for the client's list of idle connections.
using HttpClientConnectionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection to a server, with at most one call at a time.
class HttpClientConnection : public RefCounted<HttpClientConnection>,
                             public HttpClientConnectionHook,
                             private TimerSubscriber {
 public:
  HttpClientConnection(boost::asio::io_context& loop,
                       HttpClient& client,
                       const Clock& clock,
                       TimerService& timers);
  ~HttpClientConnection() override;

  /// Connects and then sends the call.
  void Connect(const SocketAddress& address, HttpCall call, HttpCallObserver& observer);

  /// Sends a call on an open, idle connection.
  void Send(HttpCall call, HttpCallObserver& observer);

  /// Closes the connection. A call in progress ends without a callback: what did not reach the
  /// server yet is discarded, and otherwise the server sees the disconnect and cancels it.
  void Close();

  /// Whether the connection is still being opened, so that no byte of the call was sent.
  bool IsConnecting() const { return this->connecting; }

  /// Whether the server's host has the whole call.
  bool IsDelivered();

  /// Number of bytes of the call that the server's host has not acknowledged.
  std::size_t UnacknowledgedBytes();

  /// Whether the same request was sent on this connection before. A second copy of its response may
  /// still arrive and could not be told from the response to the second send.
  bool HasSent(const HttpCall& next_call) const;

  /// Whether bytes have arrived that were not read yet. On an idle connection they belong to no
  /// request.
  bool HasUnreadBytes() const;

  /// Time at which the connection became idle.
  TimePoint IdleSince() const { return this->idle_since; }

  /// Removes the connection from the list of idle connections, if it is in it.
  void RemoveFromList() { this->HttpClientConnectionHook::unlink(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  static constexpr std::size_t kReadBytes = std::size_t{8} << 10;
  /// Number of requests that a connection remembers for HasSent().
  static constexpr std::size_t kRememberedRequests = 32;

  void OnTimer(TimePoint now) override;
  void StartCall();
  /// Limits the time in which the server's host must acknowledge the request.
  void SetWriteTimeout();
  void StartParser();
  /// Returns why the bytes received so far cannot become a valid response, or an empty view.
  std::string_view FindViolation();
  /// Discards an interim response or a response to another request, and waits for the next one.
  void DiscardMessage();
  /// Reserves the memory of the body: all of it if its length is announced, otherwise what has
  /// arrived or, if it is oversized, the maximum. Returns false if there is none.
  bool ReserveBody();
  /// Length that the header announces for the body, or std::nullopt if there is none.
  std::optional<std::uint64_t> AnnouncedLength() const;
  /// Stops reading for a moment, until the memory of an announced body is free.
  void WaitForMemory();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  /// Passes the bytes that were read to the parser.
  void Parse(bool end_of_stream);
  void OnMessage();
  void OnWritten(const boost::system::error_code& error);
  void Fail(ErrorKind kind, std::string_view reason);

  HttpClient& client;
  const Clock& clock;
  TimerService& timers;
  boost::asio::ip::tcp::socket socket;
  std::optional<Parser> parser;
  std::unique_ptr<char[]> read_buffer;
  std::string input;
  HttpCall call;
  HttpCallObserver* observer = nullptr;
  bool connecting = false;
  bool writing = false;
  bool write_time_limited = false;
  bool reading = false;
  bool closed = false;
  /// Whether a response to another request arrived; if so, the connection is not reused.
  bool skipped_response = false;
  /// Responses of the current call that were discarded, and all bytes received for it.
  std::size_t discarded_responses = 0;
  std::size_t received_bytes = 0;
  /// Maximum size of the body of the response.
  std::size_t max_body_bytes = 0;
  /// Memory of the body that is being received.
  BodyReservation body_reservation;
  bool waits_for_memory = false;
  bool header_checked = false;
  /// Hashes of the ids of the last requests that were sent on this connection.
  boost::circular_buffer<std::size_t> sent_requests{kRememberedRequests};
  TimePoint idle_since{};
};

}  // namespace masticpin
