#pragma once

#include <string_view>

#include "masticpin/wire/peer_frame.pb.h"
#include "sidecar/unreadable_frame.h"

namespace masticpin {

/// Receives the frames of one connection between nodes.
class FrameObserver {
 public:
  virtual ~FrameObserver() = default;

  virtual void OnFrame(wire::PeerFrame& frame) = 0;

  /// Called instead of OnFrame() for a frame that is too large or cannot be decoded.
  virtual void OnUnreadableFrame(const UnreadableFrame& frame) = 0;

  /// Called when all frames that were sent have been handed to the kernel.
  virtual void OnFramesWritten() {}

  /// Called once when the connection has ended, but not after FrameStream::Close().
  virtual void OnStreamClosed(std::string_view reason) = 0;
};

}  // namespace masticpin
