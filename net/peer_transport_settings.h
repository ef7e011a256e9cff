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
  /// A connection whose peer is silent for three intervals is closed, so that half-open connections
  /// end. With 500 ms and a connection to every peer, heartbeats made up most of 77 KB/s at 100
  /// nodes.
  std::chrono::milliseconds heartbeat_interval{5000};
  /// A connection without a message for this time is closed. Gossip goes to random peers, so
  /// without it each node would keep a connection to every other one.
  std::chrono::milliseconds idle_timeout{3000};
};

}  // namespace masticpin
