#include "net/upstream_client.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "masticpin/wire/http_headers.h"
#include "net/upstream_exchange.h"
#include "sidecar/event_loop.h"

namespace masticpin {
namespace {

/// Maximum idle time of a connection that carries an idempotent request, which may be sent again if
/// the upstream closes the connection at the same moment.
constexpr Duration kMaxIdleForIdempotent = std::chrono::seconds(60);

/// Maximum number of bodies of maximum size that are received at the same time.
constexpr std::size_t kMaxLargeBodies = 32;

SocketAddress AddressOf(const UpstreamClientSettings& settings) {
  return {settings.host, static_cast<std::uint16_t>(settings.port)};
}

HttpClientSettings MakeClientSettings(const UpstreamClientSettings& settings) {
  HttpClientSettings client;
  client.connect_timeout = settings.connect_timeout;
  client.max_body_bytes = settings.max_response_bytes;
  client.max_large_body_bytes = settings.max_response_bytes * kMaxLargeBodies;
  return client;
}

/// Returns whether the response says where its body ends. The end of any other response cannot be
/// distinguished from a lost connection.
bool HasLength(const HttpResponse& response) {
  return !response.fields.Find("Content-Length").empty() ||
         !response.fields.Find("Transfer-Encoding").empty() || response.status == 204 ||
         response.status == 304;
}

}  // namespace

UpstreamClient::UpstreamClient(const UpstreamClientSettings& settings, const Clock& clock)
    : settings(settings),
      clock(clock),
      work(boost::asio::make_work_guard(this->loop)),
      timers(this->loop, clock),
      client(this->loop, clock, this->timers, AddressOf(settings), MakeClientSettings(settings)) {
  this->thread = std::thread([this] { RunEventLoop(this->loop); });
}

UpstreamClient::~UpstreamClient() {
  // Runs after the ends of aborted calls, which were posted before.
  boost::asio::post(this->loop, [this] {
    this->client.CloseIdle();
    this->loop.stop();
  });
  this->thread.join();
}

Result<wire::HttpResponse> UpstreamClient::Send(const wire::HttpRequest& request,
                                                bool idempotent,
                                                TimePoint deadline,
                                                UpstreamCall& call) {
  if (deadline <= this->clock.Now()) {
    return MakeError(ErrorKind::kExpiredBeforeStart);
  }
  const Ref<UpstreamExchange> exchange(
      new UpstreamExchange(this->loop, this->client, this->MakeCall(request, idempotent)));
  if (!call.Attach(exchange)) {
    return MakeError(ErrorKind::kCancelledBeforeStart);
  }
  exchange->Run(deadline);
  call.Detach();
  if (!exchange->Response().has_value()) {
    return MakeError(exchange->Error(), exchange->ErrorReason());
  }
  return this->Convert(*exchange->Response());
}

HttpCall UpstreamClient::MakeCall(const wire::HttpRequest& request, bool idempotent) const {
  HttpCall call;
  call.message = request.method() + " " + request.target() +
                 " HTTP/1.1\r\nHost: " + AddressOf(this->settings).ToString() + "\r\n";
  for (const wire::Header& header : request.headers()) {
    call.message.append(header.name()).append(": ").append(header.value()).append("\r\n");
    if (header.name() == kContextHeader) {
      call.echo_name = kContextHeader;
      call.echo_value = header.value();
    }
  }
  AppendEndOfHead(request.method(), request.body().size(), call.message);
  call.message.append(request.body());
  call.head = request.method() == "HEAD";
  call.echo_required = false;
  call.max_idle = idempotent ? kMaxIdleForIdempotent : Duration(this->settings.max_idle);
  return call;
}

Result<wire::HttpResponse> UpstreamClient::Convert(HttpResponse& response) const {
  if (!HasLength(response)) {
    return MakeError(ErrorKind::kUpstreamBroken,
                     "response has neither Content-Length nor chunked encoding");
  }
  const std::string_view outcome = response.fields.Find(kOutcomeHeader);
  if (outcome == "not-run" || response.status == this->shed_status) {
    return MakeError(ErrorKind::kUpstreamShed);
  }
  if (outcome == "unknown") {
    return MakeError(ErrorKind::kUpstreamBroken, "the upstream reported an unknown outcome");
  }
  wire::HttpResponse converted;
  converted.set_status(static_cast<std::uint32_t>(response.status));
  converted.set_body(std::move(response.body));
  response.fields.ForEachEndToEnd([&converted](const std::string& name, const std::string& value) {
    wire::Header* header = converted.add_headers();
    header->set_name(name);
    header->set_value(value);
  });
  return converted;
}

}  // namespace masticpin
