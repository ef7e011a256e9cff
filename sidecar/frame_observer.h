#pragma once

#include <string_view>

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Gets the frames of one connection between nodes.
class FrameObserver {
 public:
  virtual ~FrameObserver() = default;

  virtual void OnFrame(wire::PeerFrame& frame) = 0;

  /// The connection has ended; called once, and not after FrameStream::Close().
  virtual void OnStreamClosed(std::string_view reason) = 0;
};

}  // namespace masticpin
