#pragma once

#include <cstddef>

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// The bound on what one node sends to another. Each node states the maximum size of the frames
/// that it accepts in its hello; nothing larger is sent to it.
class FrameSizeLimit {
 public:
  /// Maximum size of a frame that this node accepts, and that is assumed of a peer that has not
  /// stated one: older nodes close the connection if a larger frame arrives. A body of this size
  /// already takes a tenth of the memory of the smallest machine.
  static constexpr std::size_t kDefaultBytes = std::size_t{16} << 20;

  /// Part of a frame that is reserved for everything but the body. A request whose header is larger
  /// may still be refused when it is sent.
  static constexpr std::size_t kReservedBytes = std::size_t{256} << 10;

  /// Returns the maximum size of a request body that is sent in one frame, if large bodies in
  /// progress together may take `max_bytes_in_progress`.
  static std::size_t MaxRequestBodyBytes(std::size_t max_bytes_in_progress);

  /// States the limit of this node.
  static void Announce(wire::PeerHello& hello);

  /// Applies the limit of the peer.
  void OnHello(const wire::PeerHello& hello);

  /// Whether the peer has stated its limit. Nodes that do not are of an older version.
  bool IsAnnounced() const { return this->announced; }

  /// Whether `frame` may be sent to the peer.
  bool Allows(const wire::PeerFrame& frame) const;

 private:
  bool announced = false;
  std::size_t max_bytes = kDefaultBytes;
};

}  // namespace masticpin
