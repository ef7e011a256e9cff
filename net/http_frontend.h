#pragma once

#include <string>
#include <thread>

#include "net/caller_handler.h"
#include "net/http_server.h"

namespace masticpin {

/// HTTP interface of a node for callers, the local upstream and operators.
class HttpFrontend {
 public:
  /// `handler` must outlive this object.
  HttpFrontend(const HttpServerOptions& options, CallerHandler& handler);
  ~HttpFrontend();

  /// Binds to "ip:port" and starts serving. Returns the port, or -1 on failure.
  int Start(const std::string& address);

  /// Changes the limit on connections. Thread-safe.
  void SetMaxConnections(std::size_t count) { this->server.SetMaxConnections(count); }

  /// Stops accepting connections, finishes the requests in progress and ends all threads.
  void Stop();

 private:
  void RegisterRoutes();
  void HandleCallerRequest(const httplib::Request& request, httplib::Response& response);

  CallerHandler& handler;
  HttpServer server;
  std::thread listener;
};

}  // namespace masticpin
