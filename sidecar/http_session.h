#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_exchange.h"
#include "sidecar/http_handler.h"

namespace masticpin {

/// Hook of the list of a listener's connections.
using HttpSessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection of a caller. Reads requests while earlier ones are in progress, so that pipelined
/// requests run concurrently and a caller that leaves is noticed; writes the responses in the order
/// of the requests.
class HttpSession : public RefCounted<HttpSession>,
                    public HttpSessionHook,
                    private TimerSubscriber {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              HttpHandler& handler,
              const Clock& clock,
              TimerService& timers);
  ~HttpSession() override;

  void Start();

  /// Closes the connection. Callers of unanswered requests are gone.
  void Close();

  /// Whether a request is in progress or a response is not written yet.
  bool IsBusy() const { return !this->exchanges.empty() || this->writing; }

 private:
  friend class HttpExchange;

  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Requests in progress on one connection. Beyond it the connection is not read.
  static constexpr std::size_t kMaxPipelined = 16;
  static constexpr std::size_t kReadBytes = std::size_t{8} << 10;

  void OnTimer(TimePoint now) override;
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  /// Passes the bytes that were read to the parser. Returns false if the connection was closed.
  bool Parse();
  void StartParser();
  void OnMessage();
  /// Answers a request that could not be read, as the last one of the connection.
  void RejectMessage(int status, std::string_view reason);
  void OnResponse(HttpExchange& exchange, const OutgoingResponse& reply);
  void WriteReadyResponses();
  void OnWritten(const boost::system::error_code& error);
  /// Sets the timer to the end of what the connection waits for now.
  void ScheduleTimeout();

  boost::asio::ip::tcp::socket socket;
  HttpHandler& handler;
  const Clock& clock;
  TimerService& timers;

  std::optional<Parser> parser;
  std::unique_ptr<char[]> read_buffer;
  /// Bytes that were read and not parsed.
  std::string input;
  bool reading = false;
  /// Whether the last request, or an error, ended the sequence of requests.
  bool input_ended = false;
  bool closed = false;
  bool continue_sent = false;

  std::deque<Ref<HttpExchange>> exchanges;
  std::string output;
  bool writing = false;
  /// The response that is being written is the last one.
  bool close_after_write = false;
  TimePoint waiting_since{};
  /// Keeps the session alive until Close(), also while it neither reads nor writes.
  Ref<HttpSession> self;
};

}  // namespace masticpin
