#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <string>
#include <unordered_set>

#include "net/connection_thread_pool.h"
#include "net/http_connection.h"
#include "net/http_server_options.h"

namespace masticpin {

/// cpp-httplib server with connection handling for many kept connections: TCP_NODELAY, an unlimited
/// number of requests per connection, a backlog for bursts, a bounded number of threads that grows
/// on demand, and a stop that interrupts no request. Handlers see their connection through
/// HttpConnection::Current().
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(const HttpServerOptions& options);

  /// Binds to "ip:port" and starts to queue connections; port 0 chooses a free one. Returns the
  /// port, or -1 on failure. Call listen_after_bind() to serve until Stop().
  int Bind(const std::string& address);

  /// Ends listen_after_bind() after the requests in progress; idle connections are closed at once.
  void Stop();

  /// Changes the bound on connections. Thread-safe.
  void SetMaxConnections(std::size_t count) { this->max_connections = count; }

  /// Connections that are being served, idle ones included.
  std::size_t Connections() const { return this->connections; }

  /// True on a thread that serves a connection above `max_connections`.
  static bool InOverflow();

 private:
  bool process_and_close_socket(int socket_fd) override;
  /// Returns false if the connection ended, was idle for too long, or the server stops.
  bool WaitForRequest(const HttpConnection& connection);
  void SetIdle(int socket_fd, bool idle);

  const HttpServerOptions options;
  std::atomic<std::size_t> max_connections;
  std::atomic<std::size_t> connections = 0;
  std::atomic<bool> stopping = false;
  std::mutex idle_mutex;
  // Sockets without a request in progress, which Stop() shuts down.
  std::unordered_set<int> idle_sockets;
};

}  // namespace masticpin
