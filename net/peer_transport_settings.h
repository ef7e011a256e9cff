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
  /// Larger messages are rejected. A body of 1 MiB with its headers fits.
  std::size_t max_message_bytes = std::size_t{2} << 20;
  /// Maximum number of messages queued for one peer. Further sends fail, so that a slow peer cannot
  /// occupy an unlimited amount of memory.
  int send_queue_messages = 1000;
  /// A connection whose peer is silent for three intervals is closed, so that half-open connections
  /// do not persist. With an interval of 500 ms and a connection to every peer, heartbeats made up
  /// most of the traffic of 77 KB/s at 100 nodes.
  std::chrono::milliseconds heartbeat_interval{5000};
  /// A connection without a message for this time is closed. Gossip goes to random peers, so
  /// without this timeout each node would keep a connection to every other node.
  std::chrono::milliseconds idle_timeout{3000};
};

}  // namespace masticpin
