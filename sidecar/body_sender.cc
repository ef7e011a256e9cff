#include "sidecar/body_sender.h"

#include <algorithm>
#include <utility>

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {
namespace {

/// With it, a frame stays below the size from which FrameStream counts it, because its body is
/// counted as a whole.
constexpr std::size_t kPartBytes = std::size_t{60} << 10;

}  // namespace

void BodySender::Add(std::uint64_t call, Ref<const MessageBody> body, FrameStream& stream) {
  this->transfers.push_back(Transfer{call, std::move(body), 0});
  if (!stream.HasUnsentFrames()) {
    this->SendNext(stream);
  }
}

void BodySender::Cancel(std::uint64_t call) {
  std::erase_if(this->transfers,
                [call](const Transfer& transfer) { return transfer.call == call; });
}

bool BodySender::Contains(std::uint64_t call) const {
  return std::any_of(this->transfers.begin(), this->transfers.end(),
                     [call](const Transfer& transfer) { return transfer.call == call; });
}

void BodySender::SendNext(FrameStream& stream) {
  if (this->transfers.empty()) {
    return;
  }
  Transfer next = std::move(this->transfers.front());
  this->transfers.pop_front();
  const std::size_t bytes = std::min(kPartBytes, next.body->Size() - next.sent);
  wire::PeerFrame frame;
  wire::BodyPart& part = this->direction == Direction::kRequests ? *frame.mutable_request_part()
                                                                 : *frame.mutable_reply_part();
  part.set_call(next.call);
  part.set_bytes(next.body->Bytes().data() + next.sent, bytes);
  next.sent += bytes;
  if (next.sent < next.body->Size()) {
    this->transfers.push_back(std::move(next));
  }
  stream.Send(frame);
}

}  // namespace masticpin
