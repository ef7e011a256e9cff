#include "sidecar/frame_size_limit.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;

wire::PeerFrame MakeFrame(std::size_t bytes) {
  wire::PeerFrame frame;
  frame.mutable_request()->set_body(std::string(bytes, 'x'));
  while (frame.ByteSizeLong() > bytes) {
    frame.mutable_request()->mutable_body()->pop_back();
  }
  return frame;
}

// Guards against a body that is admitted and then does not fit in a frame.
TEST(FrameSizeLimitTest, AdmittedBodyFitsInAFrame) {
  const std::size_t body = FrameSizeLimit::MaxRequestBodyBytes(100 * kMegabyte);
  wire::PeerFrame frame;
  frame.mutable_request()->set_body(std::string(body, 'x'));
  frame.mutable_request()->set_header_lines(std::string(64 << 10, 'h'));
  EXPECT_TRUE(FrameSizeLimit().Allows(frame));
}

// Guards against a small machine that admits more than its share of memory for bodies.
TEST(FrameSizeLimitTest, MemoryBoundsTheBodyIfItIsSmaller) {
  EXPECT_EQ(FrameSizeLimit::MaxRequestBodyBytes(4 * kMegabyte), 4 * kMegabyte);
}

// Guards against frames that break the connection to an older node.
TEST(FrameSizeLimitTest, OlderPeerGetsNoMoreThanItAccepts) {
  FrameSizeLimit limit;
  wire::PeerHello hello;
  hello.set_protocol(1);
  limit.OnHello(hello);
  EXPECT_FALSE(limit.IsAnnounced());
  EXPECT_TRUE(limit.Allows(MakeFrame(FrameSizeLimit::kDefaultBytes)));
  EXPECT_FALSE(limit.Allows(MakeFrame(FrameSizeLimit::kDefaultBytes + 1)));
}

// Guards against frames above the limit that the peer has stated.
TEST(FrameSizeLimitTest, SmallerLimitOfThePeerApplies) {
  FrameSizeLimit limit;
  wire::PeerHello hello;
  hello.set_max_frame_bytes(1000);
  limit.OnHello(hello);
  EXPECT_TRUE(limit.IsAnnounced());
  EXPECT_TRUE(limit.Allows(MakeFrame(1000)));
  EXPECT_FALSE(limit.Allows(MakeFrame(1001)));
}

// Guards against a peer whose larger limit makes this node use more memory for a frame.
TEST(FrameSizeLimitTest, LargerLimitOfThePeerIsNotUsed) {
  FrameSizeLimit limit;
  wire::PeerHello hello;
  hello.set_max_frame_bytes(std::uint64_t{1} << 40);
  limit.OnHello(hello);
  EXPECT_FALSE(limit.Allows(MakeFrame(FrameSizeLimit::kDefaultBytes + 1)));
}

// Guards against a node whose peers take it for an older one.
TEST(FrameSizeLimitTest, OwnLimitIsStated) {
  wire::PeerHello hello;
  FrameSizeLimit::Announce(hello);
  FrameSizeLimit limit;
  limit.OnHello(hello);
  EXPECT_TRUE(limit.IsAnnounced());
  EXPECT_TRUE(limit.Allows(MakeFrame(FrameSizeLimit::kDefaultBytes)));
}

}  // namespace
}  // namespace masticpin
