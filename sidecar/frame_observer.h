#pragma once

#include <string_view>

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Receives the frames of one connection between nodes.
class FrameObserver {
 public:
  virtual ~FrameObserver() = default;

  virtual void OnFrame(wire::PeerFrame& frame) = 0;

  /// Called once when the connection has ended, but not after FrameStream::Close().
  virtual void OnStreamClosed(std::string_view reason) = 0;
};

}  // namespace masticpin
