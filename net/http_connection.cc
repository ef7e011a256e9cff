#include "net/http_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace masticpin {

namespace {

bool Poll(int socket_fd, short events, Duration timeout) {
  pollfd entry{.fd = socket_fd, .events = events, .revents = 0};
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  return ::poll(&entry, 1, static_cast<int>(milliseconds.count())) > 0;
}

using NameFunction = int (*)(int, sockaddr*, socklen_t*);

void GetAddress(NameFunction function, int socket_fd, std::string& ip, int& port) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (function(socket_fd, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
      address.sin_family == AF_INET &&
      ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) != nullptr) {
    ip = text.data();
    port = ntohs(address.sin_port);
  }
}

}  // namespace

HttpConnection::HttpConnection(int socket_fd, Duration io_timeout)
    : socket_fd(socket_fd), io_timeout(io_timeout) {}

bool HttpConnection::WaitForClose(Duration time) const {
  // Wait only for POLLRDHUP: the next request of a caller that pipelines must not end the wait.
  return Poll(this->socket_fd, POLLRDHUP, time);
}

void HttpConnection::DropResponse(bool close) {
  this->drop_response = true;
  this->close_after_response = close;
}

bool HttpConnection::WaitForData(Duration timeout) const {
  return this->buffer_begin < this->buffer_end || Poll(this->socket_fd, POLLIN, timeout);
}

bool HttpConnection::is_readable() const {
  return this->WaitForData(this->io_timeout);
}

bool HttpConnection::is_writable() const {
  return Poll(this->socket_fd, POLLOUT, this->io_timeout);
}

ssize_t HttpConnection::read(char* data, std::size_t size) {
  if (this->buffer_begin == this->buffer_end) {
    if (!this->is_readable()) {
      return -1;
    }
    ssize_t received = 0;
    do {
      received = ::recv(this->socket_fd, this->buffer.data(), this->buffer.size(), 0);
    } while (received < 0 && errno == EINTR);
    if (received <= 0) {
      return received;
    }
    this->buffer_begin = 0;
    this->buffer_end = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, this->buffer_end - this->buffer_begin);
  std::memcpy(data, this->buffer.data() + this->buffer_begin, count);
  this->buffer_begin += count;
  return static_cast<ssize_t>(count);
}

ssize_t HttpConnection::write(const char* data, std::size_t size) {
  if (this->drop_response) {
    return static_cast<ssize_t>(size);
  }
  ssize_t sent = 0;
  do {
    if (!this->is_writable()) {
      return -1;
    }
    sent = ::send(this->socket_fd, data, size, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

void HttpConnection::get_remote_ip_and_port(std::string& ip, int& port) const {
  GetAddress(&::getpeername, this->socket_fd, ip, port);
}

void HttpConnection::get_local_ip_and_port(std::string& ip, int& port) const {
  GetAddress(&::getsockname, this->socket_fd, ip, port);
}

}  // namespace masticpin
