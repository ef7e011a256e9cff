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

/// cpp-httplib server for many persistent connections: TCP_NODELAY, an unlimited number of requests
/// per connection, a listen backlog for bursts, a limited number of threads that are started on
/// demand, and a shutdown that does not interrupt requests. Handlers access their connection
/// through HttpConnection::Current().
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(const HttpServerOptions& options);

  /// Binds to "ip:port" and starts to queue connections; port 0 selects a free port. Returns the
  /// port, or -1 on failure. Call listen_after_bind() to serve until Stop().
  int Bind(const std::string& address);

  /// Makes listen_after_bind() return once the requests in progress have finished; idle connections
  /// are closed immediately.
  void Stop();

  /// Changes the limit on connections. Thread-safe.
  void SetMaxConnections(std::size_t count) { this->max_connections = count; }

  /// Number of connections being served, including idle ones.
  std::size_t Connections() const { return this->connections; }

  /// Returns true on a thread that serves a connection above `max_connections`.
  static bool InOverflow();

 private:
  bool process_and_close_socket(int socket_fd) override;
  /// Returns false if the connection was closed, was idle for too long, or the server is stopping.
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
