#include "net/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace masticpin {

namespace {

// cpp-httplib listens with a backlog of 5, which drops connections when many callers connect at
// once.
constexpr int kBacklog = 1024;

// The maximum number of threads is fixed when the server starts, but the connection limit may be
// raised later; connections without a thread would wait. This is more than twice the highest
// connection limit of a service (1,400).
constexpr std::size_t kMaxThreads = 4096;

// The idle timeout can become shorter while a connection waits, so it is evaluated at this
// interval.
constexpr Duration kIdlePollInterval = std::chrono::seconds(1);

// Routes are matched by std::regex, which recurses once for each character of the path. Longer
// paths would overflow the 256 KiB stacks of the connection threads.
constexpr std::size_t kMaxPathBytes = 256;

thread_local HttpConnection* current_connection = nullptr;
thread_local bool in_overflow = false;

// SO_REUSEPORT, which cpp-httplib sets by default, would let two servers share a port by accident.
void SetListenOptions(int socket_fd) {
  const int on = 1;
  ::setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

}  // namespace

HttpConnection* HttpConnection::Current() {
  return current_connection;
}

HttpServer::HttpServer(const HttpServerOptions& options)
    : options(options), max_connections(options.max_connections) {
  this->set_socket_options(&SetListenOptions);
  this->set_payload_max_length(options.max_body_bytes);
  this->new_task_queue = [this] {
    // The limit on connections may be raised while the server runs. Threads are only started on
    // demand.
    return new ConnectionThreadPool(std::max(kMaxThreads, this->max_connections.load()) +
                                    this->options.overflow_connections);
  };
  this->set_pre_routing_handler([](const httplib::Request& request, httplib::Response& response) {
    if (request.path.size() <= kMaxPathBytes) {
      return HandlerResponse::Unhandled;
    }
    response.status = 414;
    return HandlerResponse::Handled;
  });
}

int HttpServer::Bind(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    spdlog::error("event=bind_failed address={} reason=no_port", address);
    return -1;
  }
  const std::string host = address.substr(0, colon);
  int port = std::atoi(address.c_str() + colon + 1);
  if (port == 0) {
    port = this->bind_to_any_port(host);
  } else if (!this->bind_to_port(host, port)) {
    port = -1;
  }
  if (port < 0 || ::listen(this->svr_sock_, kBacklog) != 0) {
    spdlog::error("event=bind_failed address={} error={}", address, errno);
    return -1;
  }
  return port;
}

void HttpServer::Stop() {
  this->stopping = true;
  this->stop();
  const std::lock_guard lock(this->idle_mutex);
  for (const int socket_fd : this->idle_sockets) {
    ::shutdown(socket_fd, SHUT_RD);
  }
}

bool HttpServer::InOverflow() {
  return in_overflow;
}

bool HttpServer::process_and_close_socket(int socket_fd) {
  const int on = 1;
  ::setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  in_overflow = ++this->connections > this->max_connections;
  HttpConnection connection(socket_fd, this->options.io_timeout);
  current_connection = &connection;

  bool open = true;
  while (open && this->WaitForRequest(connection)) {
    connection.drop_response = false;
    bool closed_by_header = false;
    const bool close = in_overflow || this->stopping;
    const bool success = this->process_request(connection, close, closed_by_header, nullptr);
    open = success && !close && !closed_by_header && !connection.close_after_response;
  }

  current_connection = nullptr;
  --this->connections;
  ::shutdown(socket_fd, SHUT_RDWR);
  ::close(socket_fd);
  return true;
}

bool HttpServer::WaitForRequest(const HttpConnection& connection) {
  // The set is changed before the flag is read, and Stop() sets the flag before it reads the set,
  // so that at least one of the two sees the other's change.
  this->SetIdle(connection.socket_fd, true);
  Duration waited{};
  bool ready = false;
  while (!this->stopping) {
    const bool busy = this->connections * 4 > this->max_connections * 3;
    const Duration timeout = busy ? this->options.busy_idle_timeout : this->options.idle_timeout;
    if (waited >= timeout) {
      break;
    }
    const Duration slice = std::min(kIdlePollInterval, timeout - waited);
    ready = connection.WaitForData(slice);
    if (ready) {
      break;
    }
    waited += slice;
  }
  this->SetIdle(connection.socket_fd, false);
  return ready;
}

void HttpServer::SetIdle(int socket_fd, bool idle) {
  const std::lock_guard lock(this->idle_mutex);
  if (idle) {
    this->idle_sockets.insert(socket_fd);
  } else {
    this->idle_sockets.erase(socket_fd);
  }
}

}  // namespace masticpin
