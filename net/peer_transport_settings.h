#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace masticpin {

/// Settings of the connections between nodes.
struct PeerTransportSettings {
  /// ZeroMQ endpoint that other nodes connect to, for example "tcp://127.0.0.1:19001".
  std::string bind_endpoint;
  /// CURVE keys of the deployment in Z85; empty for plaintext on loopback.
  std::string public_key;
  std::string secret_key;
  /// Larger messages are refused. One body of 1 MiB with its headers fits.
  std::size_t max_message_bytes = std::size_t{2} << 20;
  /// Messages that wait for one peer. Above it a send fails, so that a slow peer cannot hold an
  /// unbounded amount of memory.
  int send_queue_messages = 1000;
  /// A peer that is silent for three intervals is disconnected, so that a peer behind a cut
  /// network path is noticed well before a caller's deadline.
  std::chrono::milliseconds heartbeat_interval{500};
};

}  // namespace masticpin
