#pragma once

#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Limits of an HttpServer.
struct HttpServerOptions {
  /// Maximum number of connections served concurrently, one thread each.
  std::size_t max_connections = 600;
  /// Additional connections that each serve one request and are then closed, so that a server at
  /// its connection limit can still refuse requests or accept important ones.
  std::size_t overflow_connections = 8;
  /// Time after which an idle connection is closed.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Replaces `idle_timeout` while more than three quarters of the connections are in use.
  Duration busy_idle_timeout = std::chrono::seconds(1);
  /// Maximum wait for the next bytes of a request, or for buffer space to write the response.
  Duration io_timeout = std::chrono::seconds(5);
  /// Larger bodies get a response with status 413.
  std::size_t max_body_bytes = 1024UL * 1024;
};

}  // namespace masticpin
