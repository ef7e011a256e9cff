#include "review/standins/http_service.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

HttpService::~HttpService() {
  this->Stop();
}

bool HttpService::Start(const Address& address) {
  this->listener = Listen(address);
  if (this->listener < 0) {
    return false;
  }
  this->acceptor = std::thread([this] { this->Accept(); });
  return true;
}

void HttpService::Stop() {
  if (this->stopping.exchange(true)) {
    return;
  }
  if (this->acceptor.joinable()) {
    this->acceptor.join();
    close(this->listener);
  }
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) {
      connection->Shutdown();
    }
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->connections.clear();
}

void HttpService::Accept() {
  constexpr int kPollMilliseconds = 20;
  while (!this->stopping) {
    pollfd state{this->listener, POLLIN, 0};
    if (poll(&state, 1, kPollMilliseconds) <= 0) {
      continue;
    }
    const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const std::lock_guard lock(this->mutex);
    this->connections.push_back(std::make_unique<HttpConnection>(descriptor));
    HttpConnection& connection = *this->connections.back();
    this->threads.emplace_back([this, &connection] {
      this->Serve(connection);
      // The descriptor stays open until Stop(), so that its number is not used again meanwhile.
      connection.Shutdown();
    });
  }
}

}  // namespace review
