#include "standins/client_pool.h"

#include <utility>

namespace masticpin::standins {

ClientPool::SendResult ClientPool::Send(const std::string& address,
                                        const httplib::Request& request,
                                        Duration timeout) {
  std::unique_ptr<httplib::Client> client = this->Take(address);
  const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(timeout);
  client->set_connection_timeout(microseconds);
  client->set_read_timeout(microseconds);
  client->set_write_timeout(microseconds);

  httplib::Result result = client->send(request);
  if (!result) {
    return {.complete = false,
            .not_sent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout,
            .response = {}};
  }
  this->Return(address, std::move(client));
  return {.complete = true, .not_sent = false, .response = std::move(*result)};
}

std::unique_ptr<httplib::Client> ClientPool::Take(const std::string& address) {
  {
    const std::lock_guard lock(this->mutex);
    Clients& clients = this->idle[address];
    if (!clients.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>("http://" + address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void ClientPool::Return(const std::string& address, std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(this->mutex);
  this->idle[address].push_back(std::move(client));
}

}  // namespace masticpin::standins
