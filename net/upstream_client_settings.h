#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace masticpin {

/// Settings of the connections to the upstream beside a node.
struct UpstreamClientSettings {
  std::string host;
  int port = 0;
  /// A connection over loopback is either accepted at once or refused.
  std::chrono::milliseconds connect_timeout{250};
  /// A request that must not be repeated is not sent on a connection that was idle for longer: the
  /// upstream may be closing it, and the outcome would be unknown.
  std::chrono::milliseconds max_idle{1000};
  std::size_t max_response_bytes = std::size_t{1} << 20;
};

}  // namespace masticpin
