#include "sidecar/http_client.h"

#include <utility>

namespace masticpin {

HttpClient::HttpClient(boost::asio::io_context& loop,
                       const Clock& clock,
                       TimerService& timers,
                       SocketAddress address)
    : loop(loop), clock(clock), timers(timers), address(std::move(address)) {}

HttpClient::~HttpClient() {
  this->CloseIdle();
}

Ref<HttpClientConnection> HttpClient::Call(HttpCall call, HttpCallObserver& observer) {
  if (!this->idle.empty()) {
    HttpClientConnection& newest = this->idle.front();
    if (this->clock.Now() - newest.IdleSince() <= call.max_idle) {
      Ref<HttpClientConnection> connection(&newest);
      connection->RemoveFromList();
      connection->Send(std::move(call), observer);
      return connection;
    }
  }
  ++this->opened;
  Ref<HttpClientConnection> connection(
      new HttpClientConnection(this->loop, *this, this->clock, this->timers));
  connection->Connect(this->address, std::move(call), observer);
  return connection;
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
