#include "sidecar/http_client.h"

#include <limits>
#include <utility>

namespace masticpin {
namespace {

/// Bounds of an account of the client's own. Small bodies are received even if the bound for large
/// ones is reached, so that a server with endless bodies does not affect its other responses.
BodyMemorySettings MakeMemorySettings(const HttpClientSettings& settings) {
  BodyMemorySettings memory;
  memory.small_share_bytes = std::numeric_limits<std::size_t>::max();
  memory.large_share_bytes = settings.max_large_body_bytes;
  return memory;
}

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& loop,
                       const Clock& clock,
                       TimerService& timers,
                       SocketAddress address,
                       const HttpClientSettings& settings)
    : loop(loop),
      clock(clock),
      timers(timers),
      address(std::move(address)),
      settings(settings),
      max_body_bytes(settings.max_body_bytes),
      own_memory(MakeMemorySettings(settings)),
      memory(settings.memory != nullptr ? *settings.memory : this->own_memory) {}

HttpClient::~HttpClient() {
  this->CloseIdle();
}

Ref<HttpClientConnection> HttpClient::Call(HttpCall call, HttpCallObserver& observer) {
  HttpClientConnection* const reusable = this->FindReusable(call);
  if (reusable != nullptr) {
    Ref<HttpClientConnection> connection(reusable);
    connection->RemoveFromList();
    connection->Send(std::move(call), observer);
    return connection;
  }
  ++this->opened;
  Ref<HttpClientConnection> connection(
      new HttpClientConnection(this->loop, *this, this->clock, this->timers));
  connection->Connect(this->address, std::move(call), observer);
  return connection;
}

HttpClientConnection* HttpClient::FindReusable(const HttpCall& call) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    HttpClientConnection& connection = *it++;
    if (this->clock.Now() - connection.IdleSince() > call.max_idle) {
      return nullptr;  // All further connections were idle for longer.
    }
    if (connection.HasUnreadBytes()) {
      connection.Close();
    } else if (!connection.HasSent(call)) {
      return &connection;
    }
  }
  return nullptr;
}

void HttpClient::CloseIdle() {
  while (!this->idle.empty()) {
    this->idle.front().Close();
  }
}

void HttpClient::OnIdle(HttpClientConnection& connection) {
  // The pending read on the idle connection holds a reference that keeps it alive.
  this->idle.push_front(connection);
}

}  // namespace masticpin
