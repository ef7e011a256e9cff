#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/admission/message_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/http_exchange.h"
#include "sidecar/http_handler.h"

namespace masticpin {

/// Hook for the listener's list of connections.
using HttpSessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection of a caller. Reads further requests while earlier ones are in progress, so that
/// pipelined requests run concurrently and a disconnect of the caller is noticed. Writes the
/// responses in the order of the requests.
class HttpSession : public RefCounted<HttpSession>,
                    public HttpSessionHook,
                    private TimerSubscriber {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              HttpHandler& handler,
              MessageMemory& memory,
              const Clock& clock,
              TimerService& timers);
  ~HttpSession() override;

  void Start();

  /// Closes the connection. The observers of unfinished requests are notified of the disconnect.
  /// `reason` is for the log; it is empty if the caller has closed the connection.
  void Close(std::string_view reason);

  /// Whether a request is in progress or was read in part, bytes have arrived that were not read
  /// yet, or a response is not delivered.
  bool IsBusy();

  /// Has the requests answered behind which responses wait, so that these are sent before the
  /// process exits.
  void EndBlockingRequests();

  /// Number of responses that have not been handed to the kernel.
  std::size_t UndeliveredResponses() const;

  /// Since when the caller has not accepted the bytes that are being written or responses wait
  /// behind one that is not complete, the caller has sent nothing of a body whose memory is
  /// reserved, or has not completed a head. std::nullopt if that is not so. The time that a caller
  /// needs at the minimum rate for the bytes that its host has acknowledged does not count.
  std::optional<TimePoint> WritingSince();
  std::optional<TimePoint> BodyStalledSince();
  std::optional<TimePoint> HeadIncompleteSince();

  /// Since when no request has been in progress and no body has been read; std::nullopt if that is
  /// not so.
  std::optional<TimePoint> IdleSince();

  /// Releases what is reserved for the connection, and closes it in the next pass of the event
  /// loop.
  void Evict(std::string_view reason);

 private:
  friend class HttpExchange;

  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Maximum number of requests in progress on one connection. Beyond it, no further request is
  /// parsed.
  static constexpr std::size_t kMaxPipelined = 16;
  static constexpr std::size_t kReadBytes = std::size_t{8} << 10;

  void OnTimer(TimePoint now) override;
  /// Whether another request may be parsed while those in progress are not answered or read.
  bool MayParse() const;
  /// Whether so much is in progress and unparsed that no more is read.
  bool IsReadingPaused() const;
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  /// Passes the bytes that were read to the parser. Returns false if the connection was closed.
  bool Parse();
  void StartParser();
  /// Checks the header once it is complete. Returns false if the request was rejected.
  bool CheckHeader();
  void OnMessage();
  /// Reserves the memory of the request's head. Returns false if the request was rejected.
  bool ReserveHead();
  /// Reserves the memory of the unparsed bytes. Returns false if the connection was closed.
  bool ReserveInput();
  /// Responds that the node has no memory for a request, which was not passed on.
  void RejectForMemory();
  /// Reserves the memory of the request's body: all of it if its length is announced, otherwise
  /// what has arrived or, if it is oversized, the maximum. Returns false if the request was
  /// rejected.
  bool ReserveBody();
  /// Responds to a request that is not passed on, as the last one of the connection.
  void RejectMessage(int status, std::string_view reason, std::string_view header_lines = "");
  void OnResponse(HttpExchange& exchange, OutgoingResponse outgoing_response);
  /// Reserves the memory of the response. If there is none, replaces the response by one that does
  /// not say whether the request has run. Does the same with one that has no final status.
  void ReserveResponse(HttpExchange& exchange, OutgoingResponse& outgoing_response);
  void ReleaseReservations();
  void WriteReadyResponses();
  void OnWritten(const boost::system::error_code& error);
  /// Sets the timer to the timeout that applies to the current state of the connection.
  void ScheduleTimeout();

  boost::asio::ip::tcp::socket socket;
  HttpHandler& handler;
  MessageMemory& memory;
  const Clock& clock;
  TimerService& timers;

  std::optional<Parser> parser;
  /// Memory of the body that is being read.
  BodyReservation body_reservation;
  /// Memory of the head that is being read, and of `input`.
  BodyReservation head_reservation;
  BodyReservation input_reservation;
  /// Whether the account has no room for more unparsed bytes.
  bool input_limited = false;
  /// Bytes of a refused body that may still be read and discarded.
  std::optional<std::uint64_t> discardable_bytes;
  std::unique_ptr<char[]> read_buffer;
  /// Bytes that were read but not yet parsed.
  std::string input;
  bool reading = false;
  /// Set after the last request of the connection or an error: further bytes are not parsed.
  bool input_ended = false;
  bool closed = false;
  bool evicted = false;
  bool continue_sent = false;
  bool header_checked = false;

  std::deque<Ref<HttpExchange>> exchanges;
  /// What is being written: heads and small bodies, then a large body.
  std::string output;
  std::string output_body;
  std::vector<BodyReservation> output_memory;
  /// Size of the responses that are not written yet.
  std::size_t unsent_bytes = 0;
  bool writing = false;
  /// Number of bytes of the current write that the caller has accepted.
  std::size_t accepted_bytes = 0;
  /// Whether the response being written is the last one.
  bool close_after_write = false;
  /// Start of the current wait for bytes of a request; the idle and header timeouts are measured
  /// from it.
  TimePoint waiting_since{};
  /// When the last bytes were read, and when the current write or the wait for it began.
  TimePoint read_at{};
  TimePoint writing_since{};
  /// When the last response was handed to the kernel.
  TimePoint responded_at{};
  /// Keeps the session alive until Close(), even while no read or write is pending.
  Ref<HttpSession> self;
};

}  // namespace masticpin
