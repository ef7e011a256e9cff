#include "sidecar/unreadable_frame.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using Reason = UnreadableFrame::Reason;

UnreadableFrame Identify(const wire::PeerFrame& frame) {
  const std::string bytes = frame.SerializeAsString();
  return IdentifyFrame(std::string_view(bytes).substr(0, kFrameStartBytes), bytes.size(),
                       Reason::kTooLarge);
}

// Guards against a request without an answer because its call is not found in the part of the frame
// that is read.
TEST(UnreadableFrameTest, CallIsInTheStartOfAnyFrame) {
  constexpr std::uint64_t kLargestCall = ~std::uint64_t{0};
  const std::string body(std::size_t{1} << 20, 'x');
  wire::PeerFrame request;
  request.mutable_request()->set_call(kLargestCall);
  request.mutable_request()->set_body(body);
  EXPECT_EQ(Identify(request).kind, wire::PeerFrame::kRequest);
  EXPECT_EQ(Identify(request).call, kLargestCall);
  wire::PeerFrame opaque;
  *opaque.mutable_opaque_request() = request.request();
  EXPECT_EQ(Identify(opaque).kind, wire::PeerFrame::kRequest);
  EXPECT_EQ(Identify(opaque).call, kLargestCall);
  wire::PeerFrame reply;
  reply.mutable_reply()->set_call(kLargestCall);
  reply.mutable_reply()->set_body(body);
  EXPECT_EQ(Identify(reply).kind, wire::PeerFrame::kReply);
  EXPECT_EQ(Identify(reply).call, kLargestCall);
}

// Guards against an error for a request that the frame does not belong to.
TEST(UnreadableFrameTest, NoCallIsReadFromOtherBytes) {
  EXPECT_EQ(IdentifyFrame("", 0, Reason::kUndecodable).kind, wire::PeerFrame::BODY_NOT_SET);
  EXPECT_EQ(IdentifyFrame("\xff\xff\xff", 3, Reason::kUndecodable).call, 0U);
  EXPECT_EQ(IdentifyFrame("\x12\x05\x20\x07", 4, Reason::kUndecodable).call, 0U);
  EXPECT_EQ(IdentifyFrame("\x12\x05\x08\xff", 4, Reason::kUndecodable).call, 0U);
  EXPECT_EQ(IdentifyFrame("\x22\x02\x08\x07", 4, Reason::kUndecodable).call, 0U);
  EXPECT_EQ(IdentifyFrame("\x12\x05\x08\x07", 4, Reason::kUndecodable).call, 7U);
}

}  // namespace
}  // namespace masticpin
