#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "masticpin/error/error_kind.h"
#include "sidecar/tcp_address.h"
#include "sidecar/testing/raw_peer.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = 200'000;
constexpr std::size_t kPartBytes = 50'000;

wire::PeerFrame MakePart(std::uint64_t call, std::size_t bytes) {
  wire::PeerFrame frame;
  frame.mutable_request_part()->set_call(call);
  frame.mutable_request_part()->set_bytes(std::string(bytes, 'x'));
  return frame;
}

/// Returns a request whose body of kBodyBytes follows in parts.
wire::PeerFrame MakeRequestInParts(std::uint64_t call) {
  wire::PeerFrame frame = RawPeer::MakeRequest(call, "parts-" + std::to_string(call), false);
  frame.mutable_request()->set_body_bytes(kBodyBytes);
  return frame;
}

/// Tests of a node that receives the bodies of requests in parts.
class ReceivedBodyPartsTest : public SidecarNodeFixture {
 protected:
  void Start(std::size_t memory_mb = 64) {
    this->fleet.AddMachine("page", RespondToAll);
    this->fleet.AddRoute("r", "page", false);
    this->fleet.At(0).settings.memory_mb = memory_mb;
    this->fleet.At(0).entry.slots = 100;
    this->fleet.Start();
    this->fleet.RunFor(milliseconds(20));
    this->peer = std::make_unique<RawPeer>(
        this->fleet.Loop(), this->fleet.At(0).settings.peer_address, "page", "front");
  }

  void SendParts(std::uint64_t call, std::size_t bytes) {
    for (std::size_t sent = 0; sent < bytes; sent += kPartBytes) {
      this->peer->Send(MakePart(call, std::min(kPartBytes, bytes - sent)));
    }
  }

  std::optional<wire::ExecutionReply> WaitForReply(std::uint64_t call,
                                                   Duration limit = seconds(1)) {
    const auto find = [this, call]() -> const wire::ExecutionReply* {
      for (const wire::PeerFrame& frame : this->peer->Received()) {
        if (frame.has_reply() && frame.reply().call() == call) {
          return &frame.reply();
        }
      }
      return nullptr;
    };
    return this->fleet.RunUntil([&] { return find() != nullptr; }, limit) ? std::optional(*find())
                                                                          : std::nullopt;
  }

  std::unique_ptr<RawPeer> peer;
};

// Guards against parts that are mixed up between two bodies, and against a request that starts
// before its body is complete.
TEST_F(ReceivedBodyPartsTest, RequestsStartWhenTheirBodiesAreComplete) {
  this->Start();
  this->peer->Send({MakeRequestInParts(1), MakeRequestInParts(2)});
  for (std::size_t sent = 0; sent + kPartBytes < kBodyBytes; sent += kPartBytes) {
    this->peer->Send({MakePart(1, kPartBytes), MakePart(2, kPartBytes)});
  }
  this->fleet.RunFor(milliseconds(50));
  EXPECT_EQ(this->RequestCount(0), 0U);
  this->peer->Send(MakePart(2, kPartBytes));
  ASSERT_TRUE(this->WaitForReply(2));
  EXPECT_EQ(this->RequestCount(0), 1U);
  this->peer->Send(MakePart(1, kPartBytes));
  ASSERT_TRUE(this->WaitForReply(1));
  for (const std::string& request : this->fleet.At(0).upstream->Requests()) {
    EXPECT_TRUE(request.ends_with("\r\n\r\n" + std::string(kBodyBytes, 'x')));
  }
}

// Guards against a request that runs although its caller left while the body arrived.
TEST_F(ReceivedBodyPartsTest, CancelledRequestDoesNotStart) {
  this->Start();
  this->peer->Send(MakeRequestInParts(1));
  this->SendParts(1, kBodyBytes - kPartBytes);
  this->peer->Send(RawPeer::MakeCancel(1));
  this->peer->Send(MakePart(1, kPartBytes));
  this->fleet.RunFor(milliseconds(100));
  EXPECT_EQ(this->RequestCount(0), 0U);
  EXPECT_FALSE(this->peer->IsClosedByPeer());
}

// Guards against a body with bytes that its request did not announce.
TEST_F(ReceivedBodyPartsTest, ExcessBytesCostOneRequest) {
  this->Start();
  this->peer->Send({MakeRequestInParts(1), MakeRequestInParts(2)});
  this->SendParts(1, kBodyBytes - 1);
  this->peer->Send(MakePart(1, 2));
  const std::optional<wire::ExecutionReply> refusal = this->WaitForReply(1);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error(), static_cast<std::uint32_t>(ErrorKind::kMalformedRequest));
  EXPECT_FALSE(refusal->reached_instance());
  this->SendParts(2, kBodyBytes);
  ASSERT_TRUE(this->WaitForReply(2));
  EXPECT_EQ(this->RequestCount(0), 1U);
}

// Guards against a peer whose bodies, of which little arrives, take the memory of the node, and
// against memory that stays reserved after the peer is gone.
TEST_F(ReceivedBodyPartsTest, AnnouncedBodiesAreCounted) {
  this->Start();
  constexpr std::uint64_t kRequests = 60;  // An eighth of 64 MB is enough for 42 of them.
  for (std::uint64_t call = 1; call <= kRequests; ++call) {
    this->peer->Send(MakeRequestInParts(call));
  }
  const std::optional<wire::ExecutionReply> refusal = this->WaitForReply(kRequests);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error(), static_cast<std::uint32_t>(ErrorKind::kOverloaded));
  this->peer.reset();
  this->fleet.RunFor(milliseconds(50));
  this->peer = std::make_unique<RawPeer>(this->fleet.Loop(),
                                         this->fleet.At(0).settings.peer_address, "page", "front");
  this->peer->Send(MakeRequestInParts(1));
  this->SendParts(1, kBodyBytes);
  EXPECT_TRUE(this->WaitForReply(1));
}

// Guards against a peer that announces a body and sends nothing more, so that its memory stays
// reserved as long as the connection is open.
TEST_F(ReceivedBodyPartsTest, BodyThatDoesNotArriveEndsAtTheDeadline) {
  this->Start();
  wire::PeerFrame request = MakeRequestInParts(1);
  request.mutable_request()->set_remaining_us(100'000);
  request.mutable_request()->set_body_bytes(20'000'000);
  this->peer->Send(request);
  this->peer->Send(MakePart(1, kPartBytes));
  const std::optional<wire::ExecutionReply> refusal = this->WaitForReply(1);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->error(), static_cast<std::uint32_t>(ErrorKind::kExpiredBeforeStart));
  request.mutable_request()->set_call(2);
  this->peer->Send(request);
  this->peer->Send(MakePart(1, kPartBytes));
  const std::optional<wire::ExecutionReply> second = this->WaitForReply(2);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->error(), static_cast<std::uint32_t>(ErrorKind::kExpiredBeforeStart));
  EXPECT_EQ(this->RequestCount(0), 0U);
}

// Guards against a request that starts after a link was cut while its body arrived, and whose
// caller may have left meanwhile.
TEST_F(ReceivedBodyPartsTest, SlowBodyIsConfirmedBeforeItsRequestStarts) {
  this->Start();
  this->peer->Send(MakeRequestInParts(1));
  this->SendParts(1, kBodyBytes - kPartBytes);
  this->fleet.RunFor(milliseconds(300));
  this->peer->Send(MakePart(1, kPartBytes));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kConfirmationRequest) == 1; }));
  EXPECT_EQ(this->RequestCount(0), 0U);
  this->peer->Send(RawPeer::MakeConfirmation(1, seconds(2)));
  EXPECT_TRUE(this->WaitForReply(1));
}

/// Tests of a node that sends bodies in parts to a peer that the test plays.
class SentBodyPartsTest : public SidecarNodeFixture {
 protected:
  void Start() {
    this->fleet.AddMachine("front", RespondToAll);
    this->fleet.AddMachine("page", RespondToAll);
    this->fleet.AddRoute("write", "page", false).timeout = seconds(4);
    this->fleet.limits.max_body_bytes = std::size_t{64} << 20;
    this->fleet.Start();
    this->fleet.Kill(1);
    this->fleet.RunFor(milliseconds(20));
    this->acceptor.emplace(this->fleet.Loop());
    ASSERT_EQ(OpenAcceptor(*this->acceptor, this->fleet.At(1).settings.peer_address, 8), "");
  }

  void StartUpload(std::size_t bytes) {
    this->caller = std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0));
    const std::string text =
        TestFleet::MakeRequest("upload", "write", "POST", "", std::string(bytes, 'x'));
    for (std::size_t sent = 0; sent < text.size(); sent += kPartBytes) {
      this->caller->Send(text.substr(sent, kPartBytes));
      this->fleet.Loop().restart();
      this->fleet.Loop().poll();
    }
  }

  /// Accepts the connection of the node and says hello on it.
  void AcceptPeer() {
    boost::asio::ip::tcp::socket socket(this->fleet.Loop());
    bool accepted = false;
    this->acceptor->async_accept(
        socket, [&](const boost::system::error_code& error) { accepted = !error; });
    ASSERT_TRUE(this->fleet.RunUntil([&] { return accepted; }, seconds(2)));
    this->peer = std::make_unique<RawPeer>(std::move(socket));
    this->peer->Send(RawPeer::MakeHello(true));
  }

  std::size_t ReceivedPartBytes() const {
    std::size_t bytes = 0;
    for (const wire::PeerFrame& frame : this->peer->Received()) {
      bytes += frame.request_part().bytes().size();
    }
    return bytes;
  }

  std::uint64_t CallOfUpload() const {
    for (const wire::PeerFrame& frame : this->peer->Received()) {
      if (frame.has_request() && frame.request().body_bytes() > 0) {
        return frame.request().call();
      }
    }
    return 0;
  }

  /// Returns the announcement of a response whose body follows in parts.
  wire::PeerFrame MakeReplyInParts(std::size_t bytes) const {
    wire::PeerFrame frame;
    frame.mutable_reply()->set_call(this->CallOfUpload());
    frame.mutable_reply()->set_status(200);
    frame.mutable_reply()->set_reason("OK");
    frame.mutable_reply()->set_header_lines("Test-Seal: seal\r\n");
    frame.mutable_reply()->set_reached_instance(true);
    frame.mutable_reply()->set_body_bytes(bytes);
    return frame;
  }

  wire::PeerFrame MakeReplyPart(std::size_t bytes) const {
    wire::PeerFrame frame;
    frame.mutable_reply_part()->set_call(this->CallOfUpload());
    frame.mutable_reply_part()->set_bytes(std::string(bytes, 'y'));
    return frame;
  }

  std::optional<boost::asio::ip::tcp::acceptor> acceptor;
  std::unique_ptr<RawPeer> peer;
  std::unique_ptr<RawCaller> caller;
};

// Guards against a small request that waits behind a whole body: they share the connection.
TEST_F(SentBodyPartsTest, SmallRequestIsNotBehindALargeBody) {
  constexpr std::size_t kUploadBytes = 30'000'000;
  this->Start();
  this->StartUpload(kUploadBytes);
  this->AcceptPeer();
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->ReceivedPartBytes() > 0; }, seconds(2)));
  RawCaller small(this->fleet.Loop(), this->fleet.RequestAddress(0));
  small.Send(TestFleet::MakeRequest("small", "write", "POST", "", "x"));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kRequest) == 2; }, seconds(2)));
  EXPECT_LT(this->ReceivedPartBytes(), kUploadBytes);
  EXPECT_TRUE(
      this->fleet.RunUntil([&] { return this->ReceivedPartBytes() == kUploadBytes; }, seconds(4)));
}

// Guards against a 504, which says nothing, for a request whose body did not reach the peer
// completely and that cannot have run.
TEST_F(SentBodyPartsTest, RequestWithAnIncompleteBodyHasNotRun) {
  this->Start();
  this->StartUpload(30'000'000);
  this->AcceptPeer();
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->ReceivedPartBytes() > 0; }, seconds(2)));
  this->acceptor.reset();
  this->peer.reset();
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->caller->ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(this->caller->Received()), 503) << this->caller->Received();
}

// Guards against parts that go on after the peer has refused the request.
TEST_F(SentBodyPartsTest, RefusalEndsTheTransfer) {
  this->Start();
  this->StartUpload(30'000'000);
  this->AcceptPeer();
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->ReceivedPartBytes() > 0; }, seconds(2)));
  wire::PeerFrame refusal;
  refusal.mutable_reply()->set_call(this->CallOfUpload());
  refusal.mutable_reply()->set_error(static_cast<std::uint32_t>(ErrorKind::kMalformedRequest));
  this->peer->Send(refusal);
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->caller->ResponseCount() == 1; }));
  this->fleet.RunFor(milliseconds(200));
  EXPECT_LT(this->ReceivedPartBytes(), 30'000'000U);
}

// Guards against a response that looks complete although its last part is missing.
TEST_F(SentBodyPartsTest, ResponseInPartsIsWholeOrNone) {
  this->Start();
  this->StartUpload(kBodyBytes);
  this->AcceptPeer();
  ASSERT_TRUE(
      this->fleet.RunUntil([this] { return this->ReceivedPartBytes() == kBodyBytes; }, seconds(2)));
  this->peer->Send({this->MakeReplyInParts(kBodyBytes), this->MakeReplyPart(kBodyBytes - 1)});
  this->fleet.RunFor(milliseconds(50));
  EXPECT_EQ(this->caller->Received(), "");
  this->peer.reset();
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->caller->ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(this->caller->Received()), 504) << this->caller->Received();
}

// Guards against a response with bytes that its announcement does not cover.
TEST_F(SentBodyPartsTest, ExcessBytesOfAResponseCostOneRequest) {
  this->Start();
  this->StartUpload(kBodyBytes);
  this->AcceptPeer();
  ASSERT_TRUE(
      this->fleet.RunUntil([this] { return this->ReceivedPartBytes() == kBodyBytes; }, seconds(2)));
  this->peer->Send({this->MakeReplyInParts(kBodyBytes), this->MakeReplyPart(kBodyBytes + 1)});
  ASSERT_TRUE(this->fleet.RunUntil([this] { return this->caller->ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(this->caller->Received()), 502) << this->caller->Received();
  EXPECT_FALSE(this->peer->IsClosedByPeer());
}

}  // namespace
}  // namespace masticpin
