#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "masticpin/base/ref_counted.h"
#include "sidecar/frame_stream.h"
#include "sidecar/message_body.h"

namespace masticpin {

/// Sends large bodies over a connection between nodes in parts, taking turns. A further part is
/// sent when all frames before it are written, so that other frames wait for one part at most.
class BodySender {
 public:
  /// Which bodies the parts belong to.
  enum class Direction : std::uint8_t { kRequests, kReplies };

  explicit BodySender(Direction direction) : direction(direction) {}

  /// Adds the body of `call`, after the frame that announces it was sent on `stream`.
  void Add(std::uint64_t call, Ref<const MessageBody> body, FrameStream& stream);

  /// Drops what was not sent of the body of `call`, if there is one.
  void Cancel(std::uint64_t call);

  void Clear() { this->transfers.clear(); }

  /// Whether the body of `call` was not sent completely.
  bool Contains(std::uint64_t call) const;

  /// Sends the next part, if there is one. Called when `stream` has written all frames.
  void SendNext(FrameStream& stream);

 private:
  struct Transfer {
    std::uint64_t call;
    Ref<const MessageBody> body;
    std::size_t sent;
  };

  const Direction direction;
  /// The next one to send a part of is the first.
  std::deque<Transfer> transfers;
};

}  // namespace masticpin
