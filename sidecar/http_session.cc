#include "sidecar/http_session.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "sidecar/http_framing.h"
#include "sidecar/tcp_connection_state.h"

namespace masticpin {

namespace http = boost::beast::http;

namespace {

/// If the caller has not accepted all bytes that are being written after this time, the connection
/// is closed.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

/// Added to the configured idle timeout, so that the connection is not closed while a request that
/// the caller sent at the last moment is in transit.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

/// While the maximum number of requests is in progress, the connection is read only until this many
/// unparsed bytes are buffered. The end of the stream is seen only if everything before it fits in
/// here and in the receive buffer of the kernel.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{256} << 10;

/// Capacity above which the output buffer is released after a write.
constexpr std::size_t kMaxRetainedOutputBytes = std::size_t{64} << 10;

/// While the connection is not read, its end is looked for at this interval.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(100);

/// After a body was refused, the caller has this time to send the rest of it and to read the
/// response, and otherwise the shorter time to read the response.
constexpr Duration kRefusedBodyTimeout = std::chrono::seconds(10);
constexpr Duration kLastResponseTimeout = std::chrono::seconds(1);

/// A caller whose body was refused is told to retry after a time between these, because uploads
/// take seconds. The step spreads callers that are refused together over the whole range.
constexpr std::uint64_t kMinRetryAfterMs = 500;
constexpr std::uint64_t kRetryAfterRangeMs = 1001;
constexpr std::uint64_t kRetryAfterStepMs = 389;

/// Maximum size of the line before a chunk, and of the trailer fields. The parser consumes them
/// only when they are complete.
constexpr std::size_t kMaxChunkLineBytes = std::size_t{16} << 10;

}  // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket,
                         HttpHandler& handler,
                         BodyMemory& body_memory,
                         const Clock& clock,
                         TimerService& timers)
    : socket(std::move(socket)),
      handler(handler),
      body_memory(body_memory),
      clock(clock),
      timers(timers) {}

HttpSession::~HttpSession() = default;

void HttpSession::Start() {
  this->self = Ref<HttpSession>(this);
  this->waiting_since = this->clock.Now();
  this->ScheduleTimeout();
  this->Read();
}

bool HttpSession::IsBusy() {
  if (!this->exchanges.empty() || this->writing) {
    return true;
  }
  if (this->clock.Now() - this->responded_at < kMaxDeliveryWait &&
      UnacknowledgedBytes(this->socket) > 0) {
    return true;
  }
  if (this->input_ended) {
    return false;
  }
  const bool read_in_part = this->parser && this->parser->got_some();
  boost::system::error_code ignored;  // After an error the pending read closes the connection.
  return read_in_part || !this->input.empty() || this->socket.available(ignored) > 0;
}

void HttpSession::Close(std::string_view reason) {
  if (this->closed) {
    return;
  }
  const Ref<HttpSession> keep = std::move(this->self);
  this->closed = true;
  this->timers.Cancel(*this);
  this->body_reservation.Release();
  this->HttpSessionHook::unlink();
  boost::system::error_code ignored;  // The connection is closed even if this fails.
  this->socket.close(ignored);
  std::deque<Ref<HttpExchange>> abandoned;
  abandoned.swap(this->exchanges);
  if (!abandoned.empty() && !reason.empty()) {
    spdlog::warn("event=caller_connection_closed unanswered={} draining={} reason=\"{}\"",
                 abandoned.size(), this->handler.IsDraining(), reason);
  }
  for (const Ref<HttpExchange>& exchange : abandoned) {
    exchange->session = nullptr;
    if (!exchange->responded && exchange->observer != nullptr) {
      exchange->observer->OnCallerDisconnected();
    }
  }
}

void HttpSession::OnTimer(TimePoint) {
  if (!this->exchanges.empty() && !this->writing) {
    if (IsClosedByRemote(this->socket)) {
      this->Close("");
    } else {
      this->ScheduleTimeout();
    }
    return;
  }
  spdlog::debug("event=caller_timeout writing={} partial_bytes={}", this->writing,
                this->input.size());
  this->Close("timeout");
}

void HttpSession::ScheduleTimeout() {
  if (this->closed) {
    return;
  }
  if (this->writing) {
    this->timers.Schedule(*this, this->clock.Now() + kWriteTimeout);
    return;
  }
  if (!this->exchanges.empty()) {
    // The requests in progress have their own deadlines.
    if (this->IsReadingPaused()) {
      this->timers.Schedule(*this, this->clock.Now() + kCloseCheckInterval);
    } else {
      this->timers.Cancel(*this);
    }
    return;
  }
  const RequestLimits limits = this->handler.Limits();
  const bool started = this->parser && (this->parser->got_some() || !this->input.empty());
  const Duration bound = started ? limits.header_timeout : limits.idle_timeout + kIdleMargin;
  this->timers.Schedule(*this, this->waiting_since + bound);
}

bool HttpSession::IsReadingPaused() const {
  return this->exchanges.size() >= kMaxPipelined && this->input.size() >= kMaxUnparsedBytes;
}

void HttpSession::Read() {
  if (this->closed || this->reading || this->IsReadingPaused()) {
    return;
  }
  this->reading = true;
  if (this->read_buffer == nullptr) {
    this->read_buffer = std::make_unique<char[]>(kReadBytes);
  }
  this->socket.async_read_some(
      boost::asio::buffer(this->read_buffer.get(), kReadBytes),
      [self = Ref<HttpSession>(this)](const boost::system::error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void HttpSession::OnRead(const boost::system::error_code& error, std::size_t bytes) {
  this->reading = false;
  if (this->closed) {
    return;
  }
  if (error) {
    // A caller that has closed its side of the connection does not wait for a response.
    this->Close(error == boost::asio::error::eof ? "" : error.message());
    return;
  }
  if (!this->input_ended) {
    if (this->input.empty() && this->exchanges.empty()) {
      this->waiting_since = this->clock.Now();
    }
    this->input.append(this->read_buffer.get(), bytes);
    if (!this->Parse()) {
      return;
    }
  } else if (this->discardable_bytes) {
    if (bytes > *this->discardable_bytes) {
      this->Close("refused body is too large");
      return;
    }
    *this->discardable_bytes -= bytes;
  }
  this->Read();
}

void HttpSession::StartParser() {
  const RequestLimits limits = this->handler.Limits();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(limits.max_body_bytes);
  this->body_reservation = BodyReservation(this->body_memory);
  this->continue_sent = false;
  this->header_checked = false;
}

bool HttpSession::Parse() {
  bool checked_for_close = false;
  while (!this->closed && !this->input_ended && this->exchanges.size() < kMaxPipelined) {
    // Empty lines before a request are ignored (RFC 9112, section 2.2).
    if (!this->parser || !this->parser->got_some()) {
      this->input.erase(0, std::min(this->input.find_first_not_of("\r\n"), this->input.size()));
    }
    if (this->input.empty()) {
      break;
    }
    if (!this->parser) {
      this->StartParser();
    }
    boost::system::error_code error;
    const std::size_t used = this->parser->put(boost::asio::buffer(this->input), error);
    this->input.erase(0, used);
    if (error && error != http::error::need_more) {
      if (error == http::error::header_limit) {
        this->RejectMessage(431, "Request Header Fields Too Large");
      } else if (error == http::error::body_limit) {
        this->RejectMessage(413, "Content Too Large");
      } else {
        spdlog::info("event=malformed_request reason=\"{}\"", error.message());
        this->RejectMessage(400, "Bad Request");
      }
      break;
    }
    if (!this->CheckHeader() || !this->ReserveBody()) {
      break;
    }
    if (this->parser->is_done()) {
      // The caller may have left before its requests were read.
      if (!checked_for_close && IsClosedByRemote(this->socket)) {
        spdlog::info("event=caller_gone_unread pending={}", this->exchanges.size());
        this->Close("");
        return false;
      }
      checked_for_close = true;
      this->OnMessage();
      continue;
    }
    if (this->parser->is_header_done() && this->input.size() > kMaxChunkLineBytes) {
      this->RejectMessage(400, "Bad Request");
      break;
    }
    if (this->parser->is_header_done() && !this->continue_sent && !this->writing &&
        this->exchanges.empty() &&
        boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
      this->continue_sent = true;
      boost::system::error_code ignored;  // A failed write is detected by the next read.
      this->socket.write_some(boost::asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ignored);
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  if (!this->closed) {
    this->ScheduleTimeout();
  }
  return !this->closed;
}

bool HttpSession::CheckHeader() {
  if (this->header_checked || !this->parser->is_header_done()) {
    return true;
  }
  this->header_checked = true;
  switch (CheckRequestFraming(this->parser->get())) {
    case RequestFraming::kValid:
      return true;
    case RequestFraming::kInvalid:
      spdlog::info("event=malformed_request reason=\"ambiguous framing or host\"");
      this->RejectMessage(400, "Bad Request");
      return false;
    case RequestFraming::kUnknownCoding:
      spdlog::info("event=malformed_request reason=\"unknown transfer coding\"");
      this->RejectMessage(501, "Not Implemented");
      return false;
  }
  return true;
}

bool HttpSession::ReserveBody() {
  if (!this->parser->is_header_done()) {
    return true;
  }
  const std::uint64_t arrived = this->parser->get().body().size();
  const std::uint64_t announced = this->parser->content_length().value_or(arrived);
  if (this->body_reservation.Grow(std::max(arrived, announced))) {
    return true;
  }
  spdlog::warn("event=body_refused bytes={} arrived={} large_bytes={} small_bytes={}", announced,
               arrived, this->body_memory.LargeBytes(), this->body_memory.SmallBytes());
  this->discardable_bytes = this->handler.Limits().max_body_bytes;
  const std::uint64_t retry_after_ms =
      kMinRetryAfterMs + this->body_memory.Refusals() * kRetryAfterStepMs % kRetryAfterRangeMs;
  this->RejectMessage(
      503, "Service Unavailable",
      fmt::format("Retry-After: {}.{:03}\r\n", retry_after_ms / 1000, retry_after_ms % 1000));
  return false;
}

void HttpSession::OnMessage() {
  auto message = this->parser->release();
  this->parser.reset();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.fields = HttpFields(message.base());
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  std::optional<AbsoluteTarget> absolute = ParseAbsoluteTarget(request.target);
  if (absolute) {
    // The host of the target replaces the Host field (RFC 9112, section 3.2.2).
    request.target = std::move(absolute->origin_form);
    request.fields.Set("Host", absolute->authority);
  }
  // Anything after the last request of a connection is ignored.
  this->input_ended = !request.keep_alive;
  Ref<HttpExchange> exchange(new HttpExchange(
      *this, std::move(request), std::move(this->body_reservation), this->clock.Now()));
  this->exchanges.push_back(exchange);
  this->handler.OnRequest(std::move(exchange));
}

void HttpSession::RejectMessage(int status,
                                std::string_view reason,
                                std::string_view header_lines) {
  this->input_ended = true;
  this->input.clear();
  this->parser.reset();
  this->body_reservation.Release();
  HttpRequest request;
  request.keep_alive = false;
  Ref<HttpExchange> exchange(
      new HttpExchange(*this, std::move(request), BodyReservation(), this->clock.Now()));
  this->exchanges.push_back(exchange);
  exchange->Respond(OutgoingResponse{status, std::string(reason), std::string(header_lines), ""});
}

void HttpSession::OnResponse(HttpExchange& exchange, const OutgoingResponse& outgoing_response) {
  const bool behind_others = this->exchanges.size() > 1;
  const bool close = !exchange.request.keep_alive ||
                     (this->handler.IsDraining() && !behind_others && this->input.empty());
  std::string& out = exchange.response;
  out.reserve(64 + outgoing_response.header_lines.size() + outgoing_response.body.size());
  out.append("HTTP/1.1 ")
      .append(std::to_string(outgoing_response.status))
      .append(" ")
      .append(outgoing_response.reason);
  out.append("\r\n").append(outgoing_response.header_lines);
  const bool bodyless = outgoing_response.status == 204 || outgoing_response.status == 304;
  if (!bodyless) {
    out.append("Content-Length: ")
        .append(std::to_string(outgoing_response.body.size()))
        .append("\r\n");
  }
  if (close) {
    out.append("Connection: close\r\n");
    this->input_ended = true;
    exchange.request.keep_alive = false;
  }
  out.append("\r\n");
  if (exchange.request.method != "HEAD" && !bodyless) {
    out.append(outgoing_response.body);
  }
  this->WriteReadyResponses();
}

void HttpSession::WriteReadyResponses() {
  if (this->closed || this->writing) {
    return;
  }
  this->output.clear();
  while (!this->exchanges.empty() && this->exchanges.front()->responded &&
         !this->close_after_write) {
    HttpExchange& front = *this->exchanges.front();
    this->output.append(front.response);
    this->close_after_write = !front.request.keep_alive;
    front.session = nullptr;
    this->exchanges.pop_front();
  }
  if (this->output.empty()) {
    return;
  }
  this->writing = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->output),
      [self = Ref<HttpSession>(this)](const boost::system::error_code& error, std::size_t) {
        self->OnWritten(error);
      });
  this->ScheduleTimeout();
}

void HttpSession::OnWritten(const boost::system::error_code& error) {
  this->writing = false;
  if (this->closed) {
    return;
  }
  if (error) {
    this->Close(error.message());
    return;
  }
  this->responded_at = this->clock.Now();
  if (this->close_after_write) {
    // Shuts down only the sending side, and closes the socket when the caller has closed its side
    // or after a timeout: closing a socket with unread bytes resets the connection and could
    // discard the response in transit.
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    if (!this->reading) {
      this->Close("last response written");
      return;
    }
    this->waiting_since = this->clock.Now();
    this->timers.Schedule(
        *this, this->waiting_since +
                   (this->discardable_bytes ? kRefusedBodyTimeout : kLastResponseTimeout));
    return;
  }
  if (this->output.capacity() > kMaxRetainedOutputBytes) {
    std::string().swap(this->output);
  }
  this->waiting_since = this->clock.Now();
  this->WriteReadyResponses();
  if (this->Parse()) {
    this->Read();
  }
}

HttpExchange::HttpExchange(HttpSession& session,
                           HttpRequest request,
                           BodyReservation body_memory,
                           TimePoint arrived_at)
    : session(&session),
      request(std::move(request)),
      body_memory(std::move(body_memory)),
      arrived_at(arrived_at) {}

void HttpExchange::Respond(const OutgoingResponse& outgoing_response) {
  if (this->responded || this->session == nullptr) {
    return;
  }
  this->responded = true;
  this->observer = nullptr;
  this->session->OnResponse(*this, outgoing_response);
}

}  // namespace masticpin
