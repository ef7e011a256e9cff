#include <gtest/gtest.h>

#include <limits>

#include "sidecar/testing/raw_peer.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

class ReceivedTimeTest : public SidecarNodeFixture {
 protected:
  void SetUp() override {
    this->fleet.AddMachine("page", RespondToAll);
    this->fleet.AddRoute("r", "page", true);
    this->fleet.Start();
  }
};

// Guards against a remaining time of a caller that overflows and refuses the request as expired.
TEST_F(ReceivedTimeTest, LargeRemainingTimeOfACallerIsNotExpired) {
  for (const char* remaining : {"9000000000000000", "100000000000000000", "9223372036854775807",
                                "18446744073709551615", "99999999999999999999999"}) {
    const std::string response = this->SendRequest(TestFleet::MakeRequest(
        remaining, "r", "GET", "Test-Remaining-Ms: " + std::string(remaining) + "\r\n"));
    EXPECT_EQ(StatusOf(response), 200) << remaining;
  }
}

// Guards against the same with the remaining time that a peer sends.
TEST_F(ReceivedTimeTest, LargeRemainingTimeOfAPeerIsNotExpired) {
  RawPeer peer(this->fleet.Loop(), this->fleet.At(0).settings.peer_address, "page", "front");
  std::uint64_t call = 0;
  for (const std::uint64_t remaining :
       {std::numeric_limits<std::uint64_t>::max(), std::uint64_t{1} << 63, std::uint64_t{1} << 54,
        std::uint64_t{9'300'000'000'000'000}}) {
    ++call;
    wire::PeerFrame frame = RawPeer::MakeRequest(call, std::to_string(call), true);
    frame.mutable_request()->set_remaining_us(remaining);
    peer.Send(frame);
    ASSERT_TRUE(this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kReply) == call; }));
    EXPECT_EQ(peer.Received().back().reply().status(), 200U)
        << remaining << " error " << peer.Received().back().reply().error();
  }
}

}  // namespace
}  // namespace masticpin
