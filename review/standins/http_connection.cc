#include "review/standins/http_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace review {
namespace {

constexpr int kBacklog = 256;

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::string HttpMessage::Field(std::string_view name) const {
  for (const auto& [field, value] : this->fields) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

int HttpMessage::Status() const {
  const std::size_t space = this->start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(this->start_line.c_str() + space + 1);
}

HttpConnection::HttpConnection(int descriptor) : descriptor(descriptor) {
  SetNoDelay(descriptor);
}

HttpConnection::~HttpConnection() {
  close(this->descriptor);
}

std::unique_ptr<HttpConnection> HttpConnection::Connect(const Address& to,
                                                        Milliseconds timeout,
                                                        const std::string& local_ip) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (!local_ip.empty()) {
    const sockaddr_in local = ToSockaddr({local_ip, 0});
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
      close(descriptor);
      return nullptr;
    }
  }
  const sockaddr_in remote = ToSockaddr(to);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return nullptr;
  }
  pollfd state{descriptor, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&state, 1, static_cast<int>(timeout.count())) != 1 ||
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(descriptor);
    return nullptr;
  }
  fcntl(descriptor, F_SETFL, 0);
  return std::make_unique<HttpConnection>(descriptor);
}

bool HttpConnection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool HttpConnection::Fill(std::chrono::steady_clock::time_point until, bool& timed_out) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - std::chrono::steady_clock::now());
  pollfd state{this->descriptor, POLLIN, 0};
  const int wait = static_cast<int>(std::max<Milliseconds::rep>(left.count(), 0));
  if (poll(&state, 1, wait) == 0) {
    timed_out = true;
    return false;
  }
  std::array<char, 65536> bytes{};
  const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

ReadResult HttpConnection::Read(HttpMessage& message, Milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  bool timed_out = false;
  const auto failure = [&] {
    if (timed_out) {
      return ReadResult::kTimeout;
    }
    return this->buffer.empty() ? ReadResult::kClosed : ReadResult::kCutShort;
  };
  std::size_t end = std::string::npos;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until, timed_out)) {
      return failure();
    }
  }
  message = HttpMessage{};
  std::size_t position = 0;
  while (position < end + 2) {
    const std::size_t line_end = this->buffer.find("\r\n", position);
    const std::string line = this->buffer.substr(position, line_end - position);
    position = line_end + 2;
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
      message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  const std::size_t length = std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  while (this->buffer.size() < end + 4 + length) {
    if (!this->Fill(until, timed_out)) {
      return failure();
    }
  }
  message.body = this->buffer.substr(end + 4, length);
  this->buffer.erase(0, end + 4 + length);
  return ReadResult::kMessage;
}

bool HttpConnection::IsClosedByPeer() const {
  pollfd state{this->descriptor, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpConnection::Shutdown() {
  shutdown(this->descriptor, SHUT_RDWR);
}

int Listen(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in local = ToSockaddr(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace review
