#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin {

/// One of the services among which a route distributes its requests.
struct RouteDestination {
  std::string service;
  /// Share of the requests in proportion to the sum of all weights of the route.
  std::uint32_t weight = 1;
};

/// Requests of one host and path prefix, and how they are handled.
struct Route {
  std::string name;
  /// In lower case, without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// The longest time that a request is kept waiting.
  Duration timeout{};
  /// Time within which a response has its full value for the caller.
  Duration target_latency{};
  /// Most servers to which one request may be sent; at least 1.
  std::uint32_t attempts = 1;
  /// Order of the routes by importance: 0 is the most important.
  std::uint32_t urgency_rank = 0;
  std::vector<RouteDestination> destinations;
};

}  // namespace masticpin
