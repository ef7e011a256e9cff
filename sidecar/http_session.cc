#include "sidecar/http_session.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "sidecar/final_status.h"
#include "sidecar/http_framing.h"
#include "sidecar/tcp_connection_state.h"

namespace masticpin {

namespace http = boost::beast::http;

namespace {

/// If the caller has not accepted all bytes that are being written after this time, and the time
/// that they take at the minimum rate, the connection is closed.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

/// Minimum rate at which a caller reads a long response, in bytes/s. One that is faster makes
/// progress, and does not give way to others.
constexpr std::size_t kMinReadRate = std::size_t{1} << 20;

/// Maximum number of bytes of a response that one system call hands to the kernel.
constexpr std::size_t kMaxWriteBytes = std::size_t{64} << 10;

/// Added to the configured idle timeout, so that the connection is not closed while a request that
/// the caller sent at the last moment is in transit.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);

/// While the maximum number of requests is in progress, the connection is read only until this many
/// unparsed bytes are buffered. The end of the stream is seen only if everything before it fits in
/// here and in the receive buffer of the kernel.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{256} << 10;

/// While more than this waits for the caller to read, none of its further requests is parsed.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10;

/// A body above this size is written from its own buffer instead of being copied.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{64} << 10;

/// A response up to this size is sent even if there is no memory for it, so that refusals are.
constexpr std::size_t kMaxUncountedResponseBytes = 1024;

/// Capacity above which the buffer of unparsed bytes is released once it is empty.
constexpr std::size_t kMaxRetainedInputBytes = std::size_t{16} << 10;

/// Memory that a field of a request takes beside its bytes, and number of copies of its bytes: in
/// the parser, in the request, and in the messages for the peer and for the server.
constexpr std::size_t kFieldMemory = 128;
constexpr std::size_t kHeadCopies = 4;

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

/// Time in which a caller reads `bytes` at the minimum rate.
Duration MaxReadTime(std::size_t bytes) {
  return std::chrono::milliseconds(bytes * 1000 / kMinReadRate);
}

}  // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket,
                         HttpHandler& handler,
                         MessageMemory& memory,
                         const Clock& clock,
                         TimerService& timers)
    : socket(std::move(socket)),
      handler(handler),
      memory(memory),
      clock(clock),
      timers(timers),
      input_reservation(memory.unparsed) {}

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
  this->ReleaseReservations();
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

void HttpSession::EndBlockingRequests() {
  const Ref<HttpSession> keep(this);
  while (!this->exchanges.empty() && this->UndeliveredResponses() > 0) {
    const Ref<HttpExchange> front = this->exchanges.front();
    if (front->responded || front->observer == nullptr) {
      return;
    }
    front->observer->OnResponseDue();
  }
}

std::size_t HttpSession::UndeliveredResponses() const {
  return static_cast<std::size_t>(
      std::count_if(this->exchanges.begin(), this->exchanges.end(),
                    [](const Ref<HttpExchange>& exchange) { return exchange->responded; }));
}

void HttpSession::ReleaseReservations() {
  this->body_reservation.Release();
  this->head_reservation.Release();
  this->input_reservation.Release();
  this->output_memory.clear();
  for (const Ref<HttpExchange>& exchange : this->exchanges) {
    exchange->response_memory.Release();
  }
}

void HttpSession::Evict(std::string_view reason) {
  if (this->closed || this->evicted) {
    return;
  }
  spdlog::warn("event=caller_evicted unanswered={} unsent_bytes={} reason=\"{}\"",
               this->exchanges.size(), this->unsent_bytes, reason);
  this->evicted = true;
  this->ReleaseReservations();
  boost::asio::post(
      this->socket.get_executor(),
      [self = Ref<HttpSession>(this), text = std::string(reason)] { self->Close(text); });
}

std::optional<TimePoint> HttpSession::WritingSince() {
  if (this->unsent_bytes == 0 || this->evicted) {
    return std::nullopt;
  }
  // What the kernel keeps is not read.
  const std::size_t kept = this->accepted_bytes == 0 ? 0 : UnacknowledgedBytes(this->socket);
  return this->writing_since +
         MaxReadTime(this->accepted_bytes - std::min(this->accepted_bytes, kept));
}

std::optional<TimePoint> HttpSession::BodyStalledSince() {
  return this->body_reservation.Bytes() > 0 && !this->evicted ? std::optional(this->read_at)
                                                              : std::nullopt;
}

std::optional<TimePoint> HttpSession::HeadIncompleteSince() {
  const bool incomplete = this->exchanges.empty() && !this->input.empty() && !this->evicted;
  return incomplete ? std::optional(this->waiting_since) : std::nullopt;
}

std::optional<TimePoint> HttpSession::IdleSince() {
  const bool idle = this->exchanges.empty() && !this->writing && !this->evicted &&
                    this->body_reservation.Bytes() == 0;
  return idle ? std::optional(this->waiting_since) : std::nullopt;
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
    this->timers.Schedule(*this, this->clock.Now() + kWriteTimeout +
                                     MaxReadTime(this->output.size() + this->output_body.size()));
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
  return !this->MayParse() && (this->input_limited || this->input.size() >= kMaxUnparsedBytes);
}

bool HttpSession::MayParse() const {
  return this->exchanges.size() < kMaxPipelined && this->unsent_bytes < kMaxUnsentBytes;
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
  this->read_at = this->clock.Now();
  if (!this->input_ended) {
    if (this->input.empty() && this->exchanges.empty()) {
      this->waiting_since = this->clock.Now();
    }
    this->input.append(this->read_buffer.get(), bytes);
    if (!this->Parse() || !this->ReserveInput()) {
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

bool HttpSession::ReserveInput() {
  if (this->input.empty() && this->input.capacity() > kMaxRetainedInputBytes) {
    std::string().swap(this->input);
  }
  this->input_limited = !this->input_reservation.Resize(this->input.size());
  if (this->input_limited && this->MayParse()) {
    // Nothing in progress would make room by its end.
    this->Close("no memory for an incomplete head");
    return false;
  }
  if (this->input_limited) {
    this->ScheduleTimeout();
  }
  return true;
}

void HttpSession::StartParser() {
  const RequestLimits limits = this->handler.Limits();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(limits.max_body_bytes);
  this->body_reservation = BodyReservation(this->memory.requests);
  this->head_reservation = BodyReservation(this->memory.heads);
  this->continue_sent = false;
  this->header_checked = false;
}

bool HttpSession::Parse() {
  bool checked_for_close = false;
  while (!this->closed && !this->input_ended && this->MayParse()) {
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
    if (!this->CheckHeader() || !this->ReserveHead() || !this->ReserveBody()) {
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

bool HttpSession::ReserveHead() {
  if (!this->parser->is_header_done() || this->head_reservation.Bytes() > 0) {
    return true;
  }
  const auto& message = this->parser->get();
  std::size_t bytes = message.target().size() * kHeadCopies;
  for (const auto& field : message) {
    bytes += (field.name_string().size() + field.value().size()) * kHeadCopies + kFieldMemory;
  }
  if (this->head_reservation.Grow(bytes)) {
    return true;
  }
  spdlog::warn("event=head_refused bytes={} in_progress={}", bytes, this->exchanges.size());
  this->RejectForMemory();
  return false;
}

bool HttpSession::ReserveBody() {
  if (!this->parser->is_header_done()) {
    return true;
  }
  std::string& body = this->parser->get().body();
  const boost::optional<std::uint64_t> length = this->parser->content_length();
  const std::optional<std::uint64_t> announced = length ? std::optional(*length) : std::nullopt;
  if (this->body_reservation.GrowWithBody(body, announced, this->handler.Limits().max_body_bytes)) {
    return true;
  }
  spdlog::warn("event=body_refused bytes={} arrived={} large_bytes={} small_bytes={}",
               announced.value_or(body.size()), body.size(), this->memory.requests.LargeBytes(),
               this->memory.requests.SmallBytes());
  this->RejectForMemory();
  return false;
}

void HttpSession::RejectForMemory() {
  this->discardable_bytes = this->handler.Limits().max_body_bytes;
  const std::uint64_t retry_after_ms =
      kMinRetryAfterMs + (this->memory.requests.Refusals() + this->memory.heads.Refusals()) *
                             kRetryAfterStepMs % kRetryAfterRangeMs;
  this->RejectMessage(
      503, "Service Unavailable",
      fmt::format("Retry-After: {}.{:03}\r\n", retry_after_ms / 1000, retry_after_ms % 1000));
}

void HttpSession::OnMessage() {
  auto message = this->parser->release();
  this->parser.reset();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.fields = HttpFields(message.base());
  request.keep_alive = message.keep_alive();
  std::optional<AbsoluteTarget> absolute = ParseAbsoluteTarget(request.target);
  if (absolute) {
    // The host of the target replaces the Host field (RFC 9112, section 3.2.2).
    request.target = std::move(absolute->origin_form);
    request.fields.Set("Host", absolute->authority);
  }
  // Anything after the last request of a connection is ignored.
  this->input_ended = !request.keep_alive;
  Ref<const MessageBody> body;
  if (!message.body().empty()) {
    body = Ref<const MessageBody>(
        new MessageBody(std::move(message.body()), std::move(this->body_reservation)));
  }
  Ref<HttpExchange> exchange(new HttpExchange(*this, std::move(request), std::move(body),
                                              std::move(this->head_reservation),
                                              this->clock.Now()));
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
  this->head_reservation.Release();
  this->input_reservation.Release();
  HttpRequest request;
  request.keep_alive = false;
  Ref<HttpExchange> exchange(
      new HttpExchange(*this, std::move(request), nullptr, BodyReservation(), this->clock.Now()));
  this->exchanges.push_back(exchange);
  exchange->Respond(OutgoingResponse{status, std::string(reason), std::string(header_lines), ""});
}

void HttpSession::OnResponse(HttpExchange& exchange, OutgoingResponse outgoing_response) {
  this->ReserveResponse(exchange, outgoing_response);
  const bool behind_others = this->exchanges.size() > 1;
  const bool close = !exchange.request.keep_alive ||
                     (this->handler.IsDraining() && !behind_others && this->input.empty());
  std::string& out = exchange.response_head;
  out.reserve(128 + outgoing_response.header_lines.size());
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
    exchange.response_body = std::move(outgoing_response.body);
  }
  if (this->unsent_bytes == 0) {
    this->writing_since = this->clock.Now();
  }
  this->unsent_bytes += out.size() + exchange.response_body.size();
  this->WriteReadyResponses();
}

void HttpSession::ReserveResponse(HttpExchange& exchange, OutgoingResponse& outgoing_response) {
  if (!IsFinalStatus(static_cast<unsigned>(outgoing_response.status))) {
    spdlog::error("event=invalid_status status={}", outgoing_response.status);
    outgoing_response = OutgoingResponse{502, "invalid_status", "", ""};
  }
  const std::size_t bytes = outgoing_response.header_lines.size() + outgoing_response.body.size();
  exchange.response_memory = BodyReservation(this->memory.responses);
  if (exchange.response_memory.Grow(bytes) || bytes <= kMaxUncountedResponseBytes) {
    return;
  }
  spdlog::warn("event=response_refused status={} bytes={} large_bytes={} small_bytes={}",
               outgoing_response.status, bytes, this->memory.responses.LargeBytes(),
               this->memory.responses.SmallBytes());
  // The request has run, so no status may promise the contrary.
  outgoing_response = OutgoingResponse{502, "response_not_kept", "", ""};
}

void HttpSession::WriteReadyResponses() {
  if (this->closed || this->writing) {
    return;
  }
  this->output.clear();
  while (!this->exchanges.empty() && this->exchanges.front()->responded &&
         !this->close_after_write && this->output_body.empty()) {
    HttpExchange& front = *this->exchanges.front();
    this->output.append(front.response_head);
    if (front.response_body.size() <= kMaxCopiedBodyBytes) {
      this->output.append(front.response_body);
    } else {
      this->output_body = std::move(front.response_body);
    }
    this->output_memory.push_back(std::move(front.response_memory));
    this->close_after_write = !front.request.keep_alive;
    front.session = nullptr;
    this->exchanges.pop_front();
  }
  if (this->output.empty()) {
    return;
  }
  this->writing = true;
  this->writing_since = this->clock.Now();
  this->accepted_bytes = 0;
  const std::array<boost::asio::const_buffer, 2> buffers = {boost::asio::buffer(this->output),
                                                            boost::asio::buffer(this->output_body)};
  boost::asio::async_write(
      this->socket, buffers,
      [self = Ref<HttpSession>(this)](const boost::system::error_code& error,
                                      std::size_t bytes) -> std::size_t {
        self->accepted_bytes = bytes;
        return error ? 0 : kMaxWriteBytes;
      },
      [self = Ref<HttpSession>(this)](const boost::system::error_code& error, std::size_t) {
        self->OnWritten(error);
      });
  this->ScheduleTimeout();
}

void HttpSession::OnWritten(const boost::system::error_code& error) {
  this->writing = false;
  this->unsent_bytes -=
      std::min(this->unsent_bytes, this->output.size() + this->output_body.size());
  std::string().swap(this->output_body);
  if (this->closed) {
    return;
  }
  this->output_memory.clear();
  this->writing_since = this->clock.Now();
  this->accepted_bytes = 0;
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
  if (this->Parse() && this->ReserveInput()) {
    this->Read();
  }
}

}  // namespace masticpin
