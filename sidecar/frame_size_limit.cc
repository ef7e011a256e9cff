#include "sidecar/frame_size_limit.h"

#include <algorithm>

namespace masticpin {

std::size_t FrameSizeLimit::MaxRequestBodyBytes(std::size_t max_bytes_in_progress) {
  return std::min(kDefaultBytes - kReservedBytes, max_bytes_in_progress);
}

void FrameSizeLimit::Announce(wire::PeerHello& hello) {
  hello.set_max_frame_bytes(kDefaultBytes);
}

void FrameSizeLimit::OnHello(const wire::PeerHello& hello) {
  this->announced = hello.max_frame_bytes() != 0;
  // A peer that accepts more is still sent no larger frames, because they take memory here too.
  this->max_bytes = this->announced ? static_cast<std::size_t>(std::min<std::uint64_t>(
                                          hello.max_frame_bytes(), kDefaultBytes))
                                    : kDefaultBytes;
}

bool FrameSizeLimit::Allows(const wire::PeerFrame& frame) const {
  return frame.ByteSizeLong() <= this->max_bytes;
}

}  // namespace masticpin
