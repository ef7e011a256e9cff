#include "sidecar/http_client_connection.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

#include "sidecar/final_status.h"
#include "sidecar/http_client.h"
#include "sidecar/http_framing.h"
#include "sidecar/tcp_address.h"
#include "sidecar/tcp_connection_state.h"

namespace masticpin {

namespace http = boost::beast::http;

namespace {

/// Servers send headers of a few hundred bytes; anything larger than this is not a valid response.
constexpr std::uint32_t kMaxResponseHeaderBytes = std::uint32_t{64} << 10;

/// Maximum size of a header, of the line before a chunk, and of the trailer fields. The parser
/// consumes each of them only when it is complete.
constexpr std::size_t kMaxUnparsedBytes = kMaxResponseHeaderBytes;

/// Maximum number of interim responses and of duplicates of earlier responses before the response
/// to a request.
constexpr std::size_t kMaxDiscardedResponses = 16;

/// All bytes received for one request may be at most this multiple of the maximum body size. More
/// means that the body is sent in tiny chunks.
constexpr std::size_t kMaxReceivedFactor = 2;

constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinInterimStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

/// While other responses hold the memory, a connection that is not read looks for room at this
/// interval. The deadline of the request limits the wait.
constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(5);

/// Time after which a connection is given up whose server's host acknowledges nothing, and the size
/// up to which a request fits in its receive buffer. A server may leave a longer one unread while
/// it works, which the kernel does not tell from a host that is gone; the deadline ends these.
constexpr Duration kMaxWriteTime = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxUnreadMessageBytes = std::size_t{32} << 10;

std::size_t HashId(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

}  // namespace

HttpClientConnection::HttpClientConnection(boost::asio::io_context& loop,
                                           HttpClient& client,
                                           const Clock& clock,
                                           TimerService& timers)
    : client(client), clock(clock), timers(timers), socket(loop) {}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::Connect(const SocketAddress& address,
                                   HttpCall new_call,
                                   HttpCallObserver& new_observer) {
  this->call = std::move(new_call);
  this->observer = &new_observer;
  this->connecting = true;
  this->timers.Schedule(*this, this->clock.Now() + this->client.settings.connect_timeout);
  this->socket.async_connect(ToEndpoint(address), [self = Ref<HttpClientConnection>(this)](
                                                      const boost::system::error_code& error) {
    self->timers.Cancel(*self);
    if (self->closed) {
      return;
    }
    self->connecting = false;
    if (error) {
      self->Fail(ErrorKind::kUpstreamUnreachable, error.message());
      return;
    }
    EnableDeadPeerDetection(self->socket);
    self->StartCall();
  });
}

void HttpClientConnection::Send(HttpCall new_call, HttpCallObserver& new_observer) {
  this->call = std::move(new_call);
  this->observer = &new_observer;
  this->StartCall();
}

bool HttpClientConnection::HasSent(const HttpCall& next_call) const {
  return !next_call.echo_name.empty() &&
         std::find(this->sent_requests.begin(), this->sent_requests.end(),
                   HashId(next_call.echo_value)) != this->sent_requests.end();
}

bool HttpClientConnection::IsDelivered() {
  return !this->connecting && !this->writing && this->UnacknowledgedBytes() == 0;
}

std::size_t HttpClientConnection::UnacknowledgedBytes() {
  return masticpin::UnacknowledgedBytes(this->socket);
}

bool HttpClientConnection::HasUnreadBytes() const {
  boost::system::error_code ignored;  // After an error the pending read closes the connection.
  return this->socket.available(ignored) > 0;
}

void HttpClientConnection::OnTimer(TimePoint) {
  if (this->waits_for_memory) {
    if (this->ReserveBody()) {
      this->waits_for_memory = false;
      this->Parse(false);
    } else {
      this->WaitForMemory();
    }
    return;
  }
  this->Fail(ErrorKind::kUpstreamUnreachable, "connect timed out");
}

void HttpClientConnection::StartCall() {
  this->observer->OnSend();
  this->sent_requests.push_back(HashId(this->call.echo_value));
  this->discarded_responses = 0;
  this->received_bytes = 0;
  this->max_body_bytes = this->client.max_body_bytes;
  this->StartParser();
  this->SetWriteTimeout();
  this->writing = true;
  boost::asio::async_write(
      this->socket,
      std::array<boost::asio::const_buffer, 2>{boost::asio::buffer(this->call.message),
                                               boost::asio::buffer(BytesOf(this->call.body))},
      [self = Ref<HttpClientConnection>(this)](const boost::system::error_code& error,
                                               std::size_t) { self->OnWritten(error); });
  this->Read();
}

void HttpClientConnection::SetWriteTimeout() {
  const bool limited =
      this->call.message.size() + BytesOf(this->call.body).size() <= kMaxUnreadMessageBytes;
  if (limited != this->write_time_limited) {
    this->write_time_limited = limited;
    SetUserTimeout(this->socket, limited ? kMaxWriteTime : Duration::zero());
  }
}

void HttpClientConnection::StartParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(kMaxResponseHeaderBytes);
  this->parser->body_limit(this->max_body_bytes);
  this->parser->skip(this->call.head);
  this->header_checked = false;
  this->body_reservation = BodyReservation(this->client.memory);
}

void HttpClientConnection::OnWritten(const boost::system::error_code& error) {
  this->writing = false;
  this->call.body.reset();
  if (error && !this->closed && this->observer != nullptr) {
    // The server may have responded before it read the whole request, so the read decides the
    // result.
    spdlog::debug("event=upstream_write_failed reason=\"{}\"", error.message());
  }
}

void HttpClientConnection::Read() {
  if (this->reading || this->closed) {
    return;
  }
  this->reading = true;
  if (this->read_buffer == nullptr) {
    this->read_buffer = std::make_unique<char[]>(kReadBytes);
  }
  this->socket.async_read_some(
      boost::asio::buffer(this->read_buffer.get(), kReadBytes),
      [self = Ref<HttpClientConnection>(this)](const boost::system::error_code& error,
                                               std::size_t bytes) { self->OnRead(error, bytes); });
}

void HttpClientConnection::OnRead(const boost::system::error_code& error, std::size_t bytes) {
  this->reading = false;
  if (this->closed) {
    return;
  }
  if (this->observer == nullptr) {
    // Only the end of an idle connection is expected. Any bytes would belong to no request.
    this->Close();
    return;
  }
  if (error) {
    if (error == boost::asio::error::eof) {
      this->Parse(true);
    } else {
      this->Fail(ErrorKind::kUpstreamBroken, error.message());
    }
    return;
  }
  this->input.append(this->read_buffer.get(), bytes);
  this->received_bytes += bytes;
  this->Parse(false);
}

void HttpClientConnection::Parse(bool end_of_stream) {
  while (!this->input.empty() && this->observer != nullptr) {
    boost::system::error_code error;
    const std::size_t used = this->parser->put(boost::asio::buffer(this->input), error);
    this->input.erase(0, used);
    if (error && error != http::error::need_more) {
      this->Fail(ErrorKind::kUpstreamBroken, error.message());
      return;
    }
    const std::string_view violation = this->FindViolation();
    if (!violation.empty()) {
      this->Fail(ErrorKind::kUpstreamBroken, violation);
      return;
    }
    if (this->parser->is_done()) {
      this->OnMessage();
      continue;
    }
    if (this->parser->is_header_done() && !this->ReserveBody()) {
      // The response cannot be kept. One whose size is known waits for room; the memory of the
      // others would grow while none of them can be completed.
      if (this->AnnouncedLength() && !end_of_stream) {
        this->WaitForMemory();
      } else {
        this->Fail(ErrorKind::kUpstreamBroken, "too many bytes of response bodies in progress");
      }
      return;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  if (this->observer == nullptr || this->closed) {
    return;
  }
  if (this->input.size() > kMaxUnparsedBytes) {
    this->Fail(ErrorKind::kUpstreamBroken, "header, chunk line or trailer is too large");
    return;
  }
  if (end_of_stream) {
    // The body of a response without a length ends with the connection.
    boost::system::error_code error;
    if (this->parser->got_some() && IsEndedInOrder(this->socket)) {
      this->parser->put_eof(error);
      if (!error && this->parser->is_done()) {
        this->OnMessage();
      }
    }
    if (this->observer != nullptr) {
      this->Fail(ErrorKind::kUpstreamBroken, "connection closed before the end of the response");
    }
    return;
  }
  this->Read();
}

std::string_view HttpClientConnection::FindViolation() {
  if (!this->parser->is_header_done()) {
    return {};
  }
  if (!this->header_checked) {
    this->header_checked = true;
    const unsigned status = this->parser->get().result_int();
    if (status < kMinInterimStatus || (status >= kMinFinalStatus && !IsFinalStatus(status))) {
      return "invalid status";
    }
    if (!HasValidFraming(this->parser->get())) {
      return "ambiguous framing of the response";
    }
  }
  if (this->received_bytes > this->max_body_bytes * kMaxReceivedFactor) {
    return "response is too large";
  }
  return {};
}

std::optional<std::uint64_t> HttpClientConnection::AnnouncedLength() const {
  const unsigned status = this->parser->get().result_int();
  if (this->call.head || status < kMinFinalStatus || status == kNoContent ||
      status == kNotModified || !this->parser->content_length()) {
    return std::nullopt;
  }
  return *this->parser->content_length();
}

bool HttpClientConnection::ReserveBody() {
  return this->body_reservation.GrowWithBody(this->parser->get().body(), this->AnnouncedLength(),
                                             this->max_body_bytes);
}

void HttpClientConnection::WaitForMemory() {
  this->waits_for_memory = true;
  this->timers.Schedule(*this, this->clock.Now() + kMemoryCheckInterval);
}

void HttpClientConnection::DiscardMessage() {
  this->body_reservation.Release();
  if (++this->discarded_responses > kMaxDiscardedResponses) {
    this->Fail(ErrorKind::kUpstreamBroken, "too many responses before the expected one");
    return;
  }
  this->StartParser();
}

void HttpClientConnection::OnMessage() {
  // False for a response whose body ends with the connection, which the message does not tell.
  const bool keep_alive = this->parser->keep_alive();
  auto message = this->parser->release();
  const bool informational = message.result_int() >= 100 && message.result_int() < 200;
  const std::string_view echoed = this->call.echo_name.empty()
                                      ? std::string_view()
                                      : std::string_view(message[this->call.echo_name]);
  const bool identified = this->call.echo_required || !echoed.empty();
  const bool other_request = !informational && !this->call.echo_name.empty() && identified &&
                             echoed != this->call.echo_value;
  if (message.result_int() == kSwitchingProtocols) {
    this->Fail(ErrorKind::kUpstreamBroken, "server switched to another protocol");
    return;
  }
  if (informational || other_request) {
    // A duplicate response to an earlier request may precede the response to this one.
    if (other_request) {
      spdlog::info("event=response_skipped expected_id={} id={}", this->call.echo_value,
                   std::string(echoed));
      this->skipped_response = true;
    }
    this->DiscardMessage();
    return;
  }

  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.reason = std::string(message.reason());
  response.fields = HttpFields(message.base());
  response.keep_alive = keep_alive;
  response.body = std::move(message.body());
  this->body_reservation.Release();
  HttpCallObserver* const finished_observer = this->observer;
  this->observer = nullptr;

  // The connection cannot be reused if the request was not fully written before the response, if
  // bytes follow the response, if a response to another request arrived, or if the response does
  // not say to which request it belongs.
  const bool reusable = response.keep_alive && !this->writing && this->input.empty() &&
                        !this->skipped_response && identified;
  const Ref<HttpClientConnection> keep(this);
  if (reusable) {
    this->idle_since = this->clock.Now();
    this->parser.reset();
    std::string().swap(this->call.message);  // clear() would keep the memory of a large body.
    this->call.body.reset();
    std::string().swap(this->input);
    // Detects that the server closes the connection while it is idle.
    this->Read();
    this->client.OnIdle(*this);
  } else {
    this->Close();
  }
  finished_observer->OnResponse(std::move(response));
}

void HttpClientConnection::Fail(ErrorKind kind, std::string_view reason) {
  const Ref<HttpClientConnection> keep(this);
  HttpCallObserver* const finished_observer = this->observer;
  this->Close();
  if (finished_observer != nullptr) {
    finished_observer->OnCallFailed(kind, reason);
  }
}

void HttpClientConnection::Close() {
  if (this->closed) {
    return;
  }
  const Ref<HttpClientConnection> keep(this);
  this->closed = true;
  this->observer = nullptr;
  this->body_reservation.Release();
  this->timers.Cancel(*this);
  CloseAndDiscard(this->socket);
  // The write was cancelled with the socket, so that it no longer reads the body.
  this->call.body.reset();
  this->RemoveFromList();
}

}  // namespace masticpin
