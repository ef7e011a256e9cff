#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>

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

  /// Closes the connection. A call in progress ends without a callback; the server sees the
  /// disconnect and cancels it.
  void Close();

  /// Time at which the connection became idle.
  TimePoint IdleSince() const { return this->idle_since; }

  /// Removes the connection from the list of idle connections, if it is in it.
  void RemoveFromList() { this->HttpClientConnectionHook::unlink(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  static constexpr std::size_t kReadBytes = std::size_t{8} << 10;

  void OnTimer(TimePoint now) override;
  void StartCall();
  void StartParser();
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
  bool writing = false;
  bool reading = false;
  bool closed = false;
  /// Whether a response to another request arrived; if so, the connection is not reused.
  bool skipped_response = false;
  TimePoint idle_since{};
};

}  // namespace masticpin
