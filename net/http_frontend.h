#pragma once

#include <string>
#include <thread>

#include "net/caller_handler.h"
#include "net/http_server.h"

namespace masticpin {

/// HTTP interface of a node towards callers, its upstream and operators.
class HttpFrontend {
 public:
  /// `handler` must outlive the front.
  HttpFrontend(const HttpServerOptions& options, CallerHandler& handler);
  ~HttpFrontend();

  /// Binds to "ip:port" and starts to serve. Returns the port, or -1 on failure.
  int Start(const std::string& address);

  /// Changes the bound on connections. Thread-safe.
  void SetMaxConnections(std::size_t count) { this->server.SetMaxConnections(count); }

  /// Stops accepting, finishes the requests in progress and ends all threads.
  void Stop();

 private:
  void RegisterRoutes();
  void HandleCallerRequest(const httplib::Request& request, httplib::Response& response);

  CallerHandler& handler;
  HttpServer server;
  std::thread listener;
};

}  // namespace masticpin
