#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace masticpin {

/// Settings of the connections to the local upstream.
struct UpstreamClientSettings {
  std::string host;
  int port = 0;
  /// A loopback connection is accepted or refused immediately, so a longer wait would not help.
  std::chrono::milliseconds connect_timeout{250};
  /// A non-idempotent request is not sent on a connection that was idle for longer: the upstream
  /// may be closing it, and the outcome would be unknown.
  std::chrono::milliseconds max_idle{1000};
  std::size_t max_response_bytes = std::size_t{1} << 20;
};

}  // namespace masticpin
