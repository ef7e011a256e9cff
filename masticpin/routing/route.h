#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin {

/// One of the services between which a route distributes its requests.
struct RouteDestination {
  std::string service;
  /// Weight of the service: its share of the requests is this weight divided by the sum of all
  /// weights of the route.
  std::uint32_t weight = 1;
};

/// Selects the requests of one host and path prefix, and defines how they are handled.
struct Route {
  std::string name;
  /// In lower case, without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Maximum time from the arrival of a request to its response.
  Duration timeout{};
  /// Time within which a response has its full value for the caller.
  Duration target_latency{};
  /// Maximum number of instances to which one request may be sent; at least 1.
  std::uint32_t attempts = 1;
  /// Rank of the route by importance: 0 is the most important.
  std::uint32_t urgency_rank = 0;
  /// Whether a request needs no key of a client account.
  bool is_public = false;
  std::vector<RouteDestination> destinations;
};

}  // namespace masticpin
