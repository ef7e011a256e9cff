#pragma once

#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Limits of an HttpServer.
struct HttpServerOptions {
  /// Connections served at the same time, one thread each.
  std::size_t max_connections = 600;
  /// Further connections that are each served for one request and then closed, so that a full
  /// server can still refuse, or accept important work.
  std::size_t overflow_connections = 8;
  /// Time after which a connection without a request is closed.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Replaces `idle_timeout` while three quarters of the connections are in use.
  Duration busy_idle_timeout = std::chrono::seconds(1);
  /// Longest wait for the next bytes of a request, or for room to write the response.
  Duration io_timeout = std::chrono::seconds(5);
  /// Larger bodies are answered 413.
  std::size_t max_body_bytes = 1024UL * 1024;
};

}  // namespace masticpin
