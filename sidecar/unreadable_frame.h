#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// A frame whose content is not delivered. The connection goes on with the next frame.
struct UnreadableFrame {
  enum class Reason : std::uint8_t { kTooLarge, kUndecodable, kNoMemory };

  Reason reason{};
  /// Size of the frame.
  std::size_t bytes = 0;
  /// BODY_NOT_SET if it is not known.
  wire::PeerFrame::BodyCase kind = wire::PeerFrame::BODY_NOT_SET;
  /// Call to which the frame belongs; 0 if it is not known.
  std::uint64_t call = 0;
};

/// Number of bytes at the start of a frame that contain its kind and its call.
inline constexpr std::size_t kFrameStartBytes = 32;

/// Reads the kind and the call from the first bytes of a frame of `bytes` bytes. The call is found
/// if it is the first field, as in the frames of all nodes.
UnreadableFrame IdentifyFrame(std::string_view start,
                              std::size_t bytes,
                              UnreadableFrame::Reason reason);

/// Returns the name of the reason for the log.
std::string_view ReasonName(UnreadableFrame::Reason reason);

}  // namespace masticpin
