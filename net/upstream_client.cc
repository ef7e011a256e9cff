#include "net/upstream_client.h"

#include <poll.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

#include "masticpin/wire/http_headers.h"

namespace masticpin {
namespace {

bool HasLength(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         response.get_header_value("Transfer-Encoding") == "chunked" || response.status == 204 ||
         response.status == 304;
}

/// Header fields that apply to a single connection; the sender of the next hop sets its own.
bool IsHopByHop(const std::string& name) {
  static constexpr std::array<const char*, 4> kNames = {"Connection", "Keep-Alive",
                                                        "Transfer-Encoding", "Content-Length"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&name](const char* other) { return strcasecmp(name.c_str(), other) == 0; });
}

/// Returns true if there is nothing to read on an idle connection. cpp-httplib does not check this
/// and would take bytes that the upstream sent without a request, such as a response sent twice,
/// for the response to the next request.
bool HasNoPendingData(const httplib::Client& client) {
  if (client.is_socket_open() == 0) {
    return true;
  }
  pollfd descriptor{client.socket(), POLLIN | POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) == 0;
}

/// Returns true if the response names another execution than the request.
bool IsForOtherRequest(const wire::HttpRequest& request, const httplib::Response& response) {
  if (!response.has_header(kContextHeader)) {
    return false;
  }
  const std::string echoed = response.get_header_value(kContextHeader);
  return std::any_of(request.headers().begin(), request.headers().end(),
                     [&echoed](const wire::Header& header) {
                       return header.name() == kContextHeader && header.value() != echoed;
                     });
}

}  // namespace

UpstreamClient::UpstreamClient(const UpstreamClientSettings& settings, const Clock& clock)
    : settings(settings), clock(clock) {}

Result<wire::HttpResponse> UpstreamClient::Send(const wire::HttpRequest& request,
                                                bool idempotent,
                                                TimePoint deadline,
                                                UpstreamCall& call) {
  // Prepare the request.
  httplib::Request outgoing;
  outgoing.method = request.method();
  outgoing.path = request.target();
  outgoing.body = request.body();
  for (const wire::Header& header : request.headers()) {
    outgoing.headers.emplace(header.name(), header.value());
  }
  // The size limit is checked while the body is read.
  std::string body;
  outgoing.content_receiver = [this, &body](const char* data, size_t size, uint64_t, uint64_t) {
    if (body.size() + size > this->settings.max_response_bytes) {
      return false;
    }
    body.append(data, size);
    return true;
  };

  // Send the request on a connection that no other request uses.
  Connection connection = this->TakeConnection(idempotent);
  const Duration remaining = deadline - this->clock.Now();
  if (remaining <= Duration::zero()) {
    this->ReturnConnection(std::move(connection));
    return MakeError(ErrorKind::kExpiredBeforeStart);
  }
  connection.client->set_read_timeout(
      std::chrono::duration_cast<std::chrono::microseconds>(remaining));
  if (!call.Attach(*connection.client)) {
    this->ReturnConnection(std::move(connection));
    return MakeError(ErrorKind::kCancelledBeforeStart);
  }
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool sent = connection.client->send(outgoing, response, error);
  call.Detach();

  // Map the failure to an error kind.
  if (!sent) {
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
      return MakeError(ErrorKind::kUpstreamUnreachable);
    }
    if (call.IsCancelled()) {
      return MakeError(ErrorKind::kCancelled);
    }
    if (this->clock.Now() >= deadline) {
      return MakeError(ErrorKind::kDeadlineExceeded);
    }
    return MakeError(ErrorKind::kUpstreamBroken, httplib::to_string(error));
  }
  if (!HasLength(response)) {
    // The end of such a response cannot be distinguished from a lost connection.
    return MakeError(ErrorKind::kUpstreamBroken,
                     "response has neither Content-Length nor chunked encoding");
  }
  if (IsForOtherRequest(request, response)) {
    return MakeError(ErrorKind::kUpstreamBroken, "response belongs to another request");
  }
  response.body = std::move(body);
  auto result = this->Convert(response);
  connection.last_used = this->clock.Now();
  this->ReturnConnection(std::move(connection));
  return result;
}

UpstreamClient::Connection UpstreamClient::TakeConnection(bool idempotent) {
  {
    const std::lock_guard lock(this->mutex);
    while (!this->idle.empty()) {
      Connection connection = std::move(this->idle.back());
      this->idle.pop_back();
      const bool fresh = this->clock.Now() - connection.last_used <= this->settings.max_idle;
      if ((idempotent || fresh) && HasNoPendingData(*connection.client)) {
        return connection;
      }
    }
  }
  Connection connection;
  connection.client = std::make_unique<httplib::Client>(this->settings.host, this->settings.port);
  connection.client->set_keep_alive(true);
  connection.client->set_tcp_nodelay(true);
  connection.client->set_url_encode(false);
  connection.client->set_decompress(false);
  connection.client->set_connection_timeout(this->settings.connect_timeout);
  connection.last_used = this->clock.Now();
  return connection;
}

void UpstreamClient::ReturnConnection(Connection connection) {
  const std::lock_guard lock(this->mutex);
  this->idle.push_back(std::move(connection));
}

Result<wire::HttpResponse> UpstreamClient::Convert(const httplib::Response& response) const {
  const std::string outcome = response.get_header_value(kOutcomeHeader);
  if (outcome == "not-run" || response.status == this->shed_status) {
    return MakeError(ErrorKind::kUpstreamShed);
  }
  if (outcome == "unknown") {
    return MakeError(ErrorKind::kUpstreamBroken, "the upstream reported an unknown outcome");
  }
  wire::HttpResponse converted;
  converted.set_status(static_cast<std::uint32_t>(response.status));
  converted.set_body(response.body);
  for (const auto& [name, value] : response.headers) {
    if (!IsHopByHop(name)) {
      wire::Header* header = converted.add_headers();
      header->set_name(name);
      header->set_value(value);
    }
  }
  return converted;
}

}  // namespace masticpin
