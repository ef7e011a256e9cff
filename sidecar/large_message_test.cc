#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticpin/error/error_kind.h"
#include "sidecar/peer_protocol.h"
#include "sidecar/tcp_address.h"
#include "sidecar/testing/raw_peer.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Above the maximum size of a frame, and below what the configuration of these tests allows.
constexpr std::size_t kLargeBytes = 20'000'000;

/// Memory of a node that does not allow a body of kLargeBytes.
constexpr std::size_t kSmallMemoryMb = 32;

/// Number of requests at work on the connection on which something goes wrong.
constexpr int kRequestsAtWork = 5;

/// Returns a frame whose field `field` has the call id `call` and is cut off after it.
wire::PeerFrame MakeUndecodableFrame(int field, std::uint64_t call) {
  std::string body = {'\x08', static_cast<char>(call), '\x32', '\x7f'};
  wire::PeerFrame frame;
  frame.GetReflection()->MutableUnknownFields(&frame)->AddLengthDelimited(field, body);
  return frame;
}

/// Returns the hello of a peer of "front" that accepts frames up to `max_frame_bytes`.
wire::PeerFrame MakeHello(std::uint64_t max_frame_bytes) {
  wire::PeerFrame frame;
  frame.mutable_hello()->set_protocol(kPeerProtocolVersion);
  frame.mutable_hello()->set_service("page");
  frame.mutable_hello()->set_caller_service("front");
  frame.mutable_hello()->set_max_frame_bytes(max_frame_bytes);
  return frame;
}

/// Tests of messages that one node cannot pass on to another, while other requests are at work on
/// the same connection.
class LargeMessageTest : public SidecarNodeFixture {
 protected:
  /// Machine 0 has an instance of "front", machine 1 one of "page", which answers when Release() is
  /// called, or at once if the id begins with "now".
  void Start() {
    this->fleet.AddMachine("front", RespondToAll);
    this->fleet.AddMachine("page", [this](Connection& connection, const std::string& request) {
      if (FieldOf(request, "Test-Id").starts_with("now")) {
        connection.Send(TestFleet::MakeResponse(request, "done", "", this->status_line));
      } else {
        this->held.emplace_back(&connection, request);
      }
    });
    this->fleet.At(1).entry.slots = 100;
    this->fleet.At(0).settings.memory_mb = this->memory_mb;
    this->fleet.AddRoute("read", "page", true).timeout = seconds(6);
    this->fleet.AddRoute("write", "page", false).timeout = seconds(6);
    this->fleet.limits.max_body_bytes = std::size_t{64} << 20;
    this->fleet.Start();
    this->fleet.RunFor(milliseconds(20));
  }

  /// Sends requests through machine 0 and waits until the instance works on them.
  void StartRequestsAtWork() {
    for (int i = 0; i < kRequestsAtWork; ++i) {
      this->callers.push_back(
          std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
      this->callers.back()->Send(
          TestFleet::MakeRequest("work-" + std::to_string(i), "write", "POST", "", "x"));
    }
    ASSERT_TRUE(this->fleet.RunUntil([this] { return this->held.size() == kRequestsAtWork; }));
  }

  /// Completes the requests at work, and expects that each caller gets its answer.
  void ExpectAnswersOfRequestsAtWork() {
    for (const auto& [connection, request] : this->held) {
      connection->Send(TestFleet::MakeResponse(request));
    }
    this->held.clear();
    for (const auto& caller : this->callers) {
      EXPECT_TRUE(this->fleet.RunUntil([&] { return caller->ResponseCount() == 1; }, seconds(1)));
      EXPECT_EQ(StatusOf(caller->Received()), 200) << caller->Received();
    }
  }

  /// Sends `text` in parts while the nodes run, and returns the response.
  std::string SendLarge(const std::string& text, Duration limit = seconds(5)) {
    constexpr std::size_t kPartBytes = std::size_t{64} << 10;
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    for (std::size_t sent = 0; sent < text.size() && !caller.IsClosedByPeer(); sent += kPartBytes) {
      caller.Send(text.substr(sent, kPartBytes));
      this->fleet.Loop().restart();
      this->fleet.Loop().poll();
    }
    this->fleet.RunUntil([&] { return caller.ResponseCount() > 0 || caller.IsClosedByPeer(); },
                         limit);
    return caller.Received();
  }

  /// Returns the reply to `call`, or nullptr if there is none.
  static const wire::ExecutionReply* FindReply(const RawPeer& peer, std::uint64_t call) {
    for (const wire::PeerFrame& frame : peer.Received()) {
      if (frame.has_reply() && frame.reply().call() == call) {
        return &frame.reply();
      }
    }
    return nullptr;
  }

  /// Expects that the node of machine 1 replies to the request that `unreadable` contains, call 2,
  /// with `error`, and completes the other request on the connection.
  void ExpectErrorForOneRequest(const wire::PeerFrame& unreadable, ErrorKind error) {
    this->Start();
    RawPeer peer(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
    peer.Send(RawPeer::MakeRequest(1, "work", false));
    ASSERT_TRUE(this->fleet.RunUntil([this] { return this->held.size() == 1; }));
    peer.Send(unreadable);
    ASSERT_TRUE(this->fleet.RunUntil([&] { return FindReply(peer, 2) != nullptr; }, seconds(2)));
    EXPECT_EQ(FindReply(peer, 2)->error(), static_cast<std::uint32_t>(error));
    EXPECT_FALSE(FindReply(peer, 2)->reached_instance());
    this->ExpectAnswersOfRequestsAtWork();
    ASSERT_TRUE(this->fleet.RunUntil([&] { return FindReply(peer, 1) != nullptr; }, seconds(1)));
    EXPECT_EQ(FindReply(peer, 1)->status(), 200U);
    EXPECT_FALSE(peer.IsClosedByPeer());
  }

  /// Replaces the node of machine 1 by a peer that the test plays, and sends it two requests.
  void StartTwoRequestsAtRawPeer() {
    this->Start();
    this->fleet.Kill(1);
    this->fleet.RunFor(milliseconds(20));
    this->acceptor.emplace(this->fleet.Loop());
    ASSERT_EQ(OpenAcceptor(*this->acceptor, this->fleet.At(1).settings.peer_address, 8), "");
    for (int i = 0; i < 2; ++i) {
      this->callers.push_back(
          std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
      this->callers.back()->Send(
          TestFleet::MakeRequest("work-" + std::to_string(i), "write", "POST", "", "x"));
    }
    this->fleet.RunFor(milliseconds(50));
    this->peer = std::make_unique<RawPeer>(this->acceptor->accept());
    ASSERT_TRUE(
        this->fleet.RunUntil([this] { return this->peer->Count(wire::PeerFrame::kRequest) == 2; }));
    for (const wire::PeerFrame& frame : this->peer->Received()) {
      if (frame.has_request()) {
        this->calls.push_back(frame.request().call());
      }
    }
  }

  wire::PeerFrame MakeReply(std::uint64_t call, std::string body) {
    wire::PeerFrame frame;
    frame.mutable_reply()->set_call(call);
    frame.mutable_reply()->set_status(200);
    frame.mutable_reply()->set_reason("OK");
    frame.mutable_reply()->set_header_lines("Test-Seal: seal\r\n");
    frame.mutable_reply()->set_body(std::move(body));
    frame.mutable_reply()->set_reached_instance(true);
    return frame;
  }

  /// Sends `unreadable` in place of the reply to the first call. Expects a 502 for it, because the
  /// request has run, and the answer of the second.
  void ExpectBadGatewayForFirstCall(const wire::PeerFrame& unreadable) {
    this->peer->Send(unreadable);
    this->peer->Send(this->MakeReply(this->calls[1], "second"));
    ASSERT_TRUE(this->fleet.RunUntil(
        [this] {
          return this->callers[0]->ResponseCount() == 1 && this->callers[1]->ResponseCount() == 1;
        },
        seconds(3)));
    EXPECT_EQ(StatusOf(this->callers[0]->Received()), 502) << this->callers[0]->Received();
    EXPECT_EQ(StatusOf(this->callers[1]->Received()), 200) << this->callers[1]->Received();
    EXPECT_FALSE(this->peer->IsClosedByPeer());
  }

  std::size_t memory_mb = 256;
  std::string status_line = "200 OK";
  std::vector<std::pair<Connection*, std::string>> held;
  std::vector<std::unique_ptr<RawCaller>> callers;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor;
  std::unique_ptr<RawPeer> peer;
  std::vector<std::uint64_t> calls;
};

// Guards against a body above the maximum size of a frame that ends all other requests between the
// two nodes with 504 while their instance works on them, or that is refused for its size alone.
TEST_F(LargeMessageTest, LargeBodyIsServedAndOtherRequestsComplete) {
  this->Start();
  this->StartRequestsAtWork();
  const std::string answer = this->SendLarge(
      TestFleet::MakeRequest("now", "write", "POST", "", std::string(kLargeBytes, 'x')));
  EXPECT_EQ(StatusOf(answer), 200) << answer;
  this->ExpectAnswersOfRequestsAtWork();
  EXPECT_EQ(this->RequestCount(1), static_cast<std::size_t>(kRequestsAtWork) + 1);
}

// Guards against the same for a body that the memory does not allow.
TEST_F(LargeMessageTest, TooLargeBodyIsRefusedAndOtherRequestsComplete) {
  this->memory_mb = kSmallMemoryMb;
  this->Start();
  this->StartRequestsAtWork();
  const std::string answer = this->SendLarge(
      TestFleet::MakeRequest("large", "write", "POST", "", std::string(kLargeBytes, 'x')));
  EXPECT_EQ(StatusOf(answer), 413) << answer;
  EXPECT_EQ(FieldOf(answer, "Retry-After"), "");
  this->ExpectAnswersOfRequestsAtWork();
  EXPECT_EQ(this->RequestCount(1), static_cast<std::size_t>(kRequestsAtWork));
}

// Guards against a body above the maximum size of a frame that is sent to a node which does not
// accept parts, and would run the request without it.
TEST_F(LargeMessageTest, OlderPeerGetsNoBodyInParts) {
  this->StartTwoRequestsAtRawPeer();
  this->peer->Send(RawPeer::MakeHello(false));
  this->fleet.RunFor(milliseconds(20));
  const std::string refused = this->SendLarge(
      TestFleet::MakeRequest("large", "write", "POST", "", std::string(kLargeBytes, 'x')));
  EXPECT_EQ(StatusOf(refused), 413) << refused;
  EXPECT_EQ(this->peer->Count(wire::PeerFrame::kRequest), 2U);
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("whole", "write", "POST", "", std::string(300'000, 'x')));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kRequest) == 3; }, seconds(1)));
  EXPECT_EQ(this->peer->Received().back().request().body().size(), 300'000U);
  EXPECT_EQ(this->peer->Count(wire::PeerFrame::kRequestPart), 0U);
}

// Guards against a request that waits until its deadline for the hello of a node that sends none.
TEST_F(LargeMessageTest, OldPeerWithoutHelloGetsTheBodyInOneFrame) {
  this->StartTwoRequestsAtRawPeer();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("whole", "write", "POST", "", std::string(300'000, 'x')));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kKeepAlive) > 0; }, seconds(2)));
  wire::PeerFrame reply;
  reply.mutable_keep_alive_reply();
  this->peer->Send(reply);
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kRequest) == 3; }, seconds(1)));
  EXPECT_EQ(this->peer->Received().back().request().body().size(), 300'000U);
}

// Guards against a bound that is lower than what fits in a frame.
TEST_F(LargeMessageTest, BodyJustBelowTheBoundReachesAnotherNode) {
  this->Start();
  const std::string answer = this->SendLarge(
      TestFleet::MakeRequest("now", "write", "POST", "", std::string(std::size_t{15} << 20, 'x')));
  EXPECT_EQ(StatusOf(answer), 200) << answer;
}

// Guards against a 503 with Retry-After for a body that no retry can get past the memory bound.
TEST_F(LargeMessageTest, BodyAboveTheMemoryBoundIsNeverToBeRetried) {
  this->memory_mb = kSmallMemoryMb;
  this->Start();
  const std::string answer = this->SendLarge(
      TestFleet::MakeRequest("now", "write", "POST", "", std::string(std::size_t{40} << 20, 'x')));
  EXPECT_EQ(StatusOf(answer), 413) << answer;
  EXPECT_EQ(FieldOf(answer, "Retry-After"), "");
}

// Guards against an older node, which does not check the size of what it sends, that breaks the
// connection.
TEST_F(LargeMessageTest, OversizedFrameOfAnOlderPeerCostsOneRequest) {
  wire::PeerFrame frame = RawPeer::MakeRequest(2, "large", false);
  frame.mutable_request()->set_body(std::string(kLargeBytes, 'x'));
  this->ExpectErrorForOneRequest(frame, ErrorKind::kBodyTooLarge);
}

// Guards against one frame that cannot be decoded and ends all requests of the peer.
TEST_F(LargeMessageTest, UndecodableRequestCostsOneRequest) {
  this->ExpectErrorForOneRequest(MakeUndecodableFrame(wire::PeerFrame::kRequestFieldNumber, 2),
                                 ErrorKind::kMalformedRequest);
}

// Guards against a refusal of a request that has run, and against the end of the other requests,
// when the reply is too large.
TEST_F(LargeMessageTest, OversizedReplyCostsOneRequest) {
  this->StartTwoRequestsAtRawPeer();
  this->ExpectBadGatewayForFirstCall(
      this->MakeReply(this->calls[0], std::string(kLargeBytes, 'x')));
}

// Guards against the same when the reply cannot be decoded.
TEST_F(LargeMessageTest, UndecodableReplyCostsOneRequest) {
  this->StartTwoRequestsAtRawPeer();
  this->ExpectBadGatewayForFirstCall(
      MakeUndecodableFrame(wire::PeerFrame::kReplyFieldNumber, this->calls[0]));
}

// Guards against a status in the reply of a peer that is none, and that the caller would get.
TEST_F(LargeMessageTest, ReplyWithAnInvalidStatusCostsOneRequest) {
  for (const std::uint32_t status : {0U, 42U, 101U, 199U, 600U, 999U, 4'294'967'295U}) {
    if (this->peer == nullptr) {
      this->StartTwoRequestsAtRawPeer();
    }
    const std::size_t first = this->callers.size();
    this->callers.push_back(
        std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
    this->callers.back()->Send(
        TestFleet::MakeRequest("status-" + std::to_string(status), "write", "POST", "", "x"));
    const std::size_t frames = this->peer->Count(wire::PeerFrame::kRequest);
    ASSERT_TRUE(this->fleet.RunUntil(
        [&] { return this->peer->Count(wire::PeerFrame::kRequest) > frames; }));
    wire::PeerFrame reply = this->MakeReply(this->peer->Received().back().request().call(), "body");
    reply.mutable_reply()->set_status(status);
    this->peer->Send(reply);
    ASSERT_TRUE(this->fleet.RunUntil([&] { return this->callers[first]->ResponseCount() == 1; }));
    EXPECT_EQ(StatusOf(this->callers[first]->Received()), 502) << this->callers[first]->Received();
  }
  EXPECT_FALSE(this->peer->IsClosedByPeer());
}

// Guards against a byte in the target or the id that is not UTF-8 and makes the frame undecodable.
TEST_F(LargeMessageTest, TargetAndIdNeedNotBeUtf8) {
  this->Start();
  this->StartRequestsAtWork();
  std::string request = TestFleet::MakeRequest("now-\xff", "write", "POST", "", "x");
  request.replace(request.find("/write/1"), 8, "/write/\xff");
  const std::string answer = this->SendRequest(request);
  EXPECT_EQ(StatusOf(answer), 200) << answer;
  EXPECT_TRUE(this->fleet.At(1).upstream->Requests().back().starts_with("POST /write/\xff HTTP"));
  this->ExpectAnswersOfRequestsAtWork();
}

// Guards against the same for the reason phrase of a response.
TEST_F(LargeMessageTest, ReasonPhraseNeedNotBeUtf8) {
  this->Start();
  this->StartRequestsAtWork();
  this->status_line = "200 \xff";
  const std::string answer =
      this->SendRequest(TestFleet::MakeRequest("now", "write", "POST", "", "x"));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 \xff\r\n")) << answer;
  this->ExpectAnswersOfRequestsAtWork();
}

// Guards against a request that an older node cannot decode, so that it ends the connection.
TEST_F(LargeMessageTest, OlderPeerSkipsARequestThatIsNotUtf8) {
  this->StartTwoRequestsAtRawPeer();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("\xff", "write", "POST", "", "x"));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kOpaqueRequest) == 1; }, seconds(1)));
  EXPECT_EQ(this->peer->Count(wire::PeerFrame::kRequest), 2U);
}

// Guards against a reply that an older node cannot decode, so that it ends the connection.
TEST_F(LargeMessageTest, OlderPeerGetsNoReasonPhraseThatIsNotUtf8) {
  this->Start();
  this->status_line = "200 \xff";
  RawPeer old(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  old.Send(RawPeer::MakeRequest(1, "now", false));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return FindReply(old, 1) != nullptr; }, seconds(1)));
  EXPECT_EQ(FindReply(old, 1)->status(), 200U);
  EXPECT_EQ(FindReply(old, 1)->reason(), "");
  EXPECT_EQ(old.Count(wire::PeerFrame::kHello), 0U);
}

// Guards against a reply above the limit that the peer has stated, and against a refusal that
// claims that the request has not run.
TEST_F(LargeMessageTest, ReplyAboveTheLimitOfThePeerBecomesAnError) {
  this->Start();
  RawPeer limited(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  limited.Send(MakeHello(2000));
  limited.Send({RawPeer::MakeRequest(1, "work", false), RawPeer::MakeRequest(2, "now", false)});
  ASSERT_TRUE(this->fleet.RunUntil([&] { return FindReply(limited, 2) != nullptr; }, seconds(1)));
  EXPECT_EQ(FindReply(limited, 2)->status(), 200U);
  ASSERT_EQ(this->held.size(), 1U);
  this->held[0].first->Send(
      TestFleet::MakeResponse(this->held[0].second, std::string(10'000, 'x')));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return FindReply(limited, 1) != nullptr; }, seconds(1)));
  EXPECT_EQ(FindReply(limited, 1)->error(), static_cast<std::uint32_t>(ErrorKind::kUpstreamBroken));
  EXPECT_TRUE(FindReply(limited, 1)->reached_instance());
  EXPECT_FALSE(limited.IsClosedByPeer());
}

// Guards against a node that does not state its limit to a peer that has stated its own.
TEST_F(LargeMessageTest, NodesStateTheirLimits) {
  this->StartTwoRequestsAtRawPeer();
  ASSERT_FALSE(this->peer->Received().empty());
  EXPECT_EQ(this->peer->Received()[0].hello().max_frame_bytes(), std::size_t{16} << 20);
  RawPeer limited(this->fleet.Loop(), this->fleet.At(0).settings.peer_address, "front", "page");
  limited.Send(MakeHello(2000));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return limited.Count(wire::PeerFrame::kHello) == 1; },
                                   seconds(1)));
  EXPECT_EQ(limited.Received()[0].hello().max_frame_bytes(), std::size_t{16} << 20);
}

// Guards against a request above the limit that the peer has stated.
TEST_F(LargeMessageTest, RequestAboveTheLimitOfThePeerIsNotSent) {
  this->StartTwoRequestsAtRawPeer();
  this->peer->Send(MakeHello(2000));
  this->fleet.RunFor(milliseconds(20));
  const std::string answer = this->SendRequest(
      TestFleet::MakeRequest("large", "write", "POST", "", std::string(10'000, 'x')));
  EXPECT_EQ(StatusOf(answer), 413) << answer;
  EXPECT_EQ(this->peer->Count(wire::PeerFrame::kRequest), 2U);
  EXPECT_FALSE(this->peer->IsClosedByPeer());
}

// Guards against a limit that outlives its connection: nothing above it was sent to the next
// process at the address, so that its larger limit was never learned.
TEST_F(LargeMessageTest, LimitOfThePeerEndsWithTheConnection) {
  this->StartTwoRequestsAtRawPeer();
  this->peer->Send(MakeHello(2000));
  this->fleet.RunFor(milliseconds(20));
  this->peer.reset();
  this->fleet.RunFor(milliseconds(20));
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("large", "write", "POST", "", std::string(10'000, 'x')));
  this->fleet.RunFor(milliseconds(100));
  EXPECT_EQ(caller.ResponseCount(), 0) << caller.Received();
  this->acceptor->non_blocking(true);
  boost::system::error_code error;
  boost::asio::ip::tcp::socket socket(this->fleet.Loop());
  this->acceptor->accept(socket, error);
  ASSERT_FALSE(error) << "no new connection";
  RawPeer next(std::move(socket));
  EXPECT_TRUE(
      this->fleet.RunUntil([&] { return next.Count(wire::PeerFrame::kRequest) == 1; }, seconds(1)));
}

// Guards against a 413, which promises that the request has not run, after an attempt that may have
// run.
TEST_F(LargeMessageTest, RefusalOfARetryDoesNotClaimThatTheRequestHasNotRun) {
  this->StartTwoRequestsAtRawPeer();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("retried", "read", "GET"));
  ASSERT_TRUE(this->fleet.RunUntil(
      [this] { return this->peer->Count(wire::PeerFrame::kRequest) == 3; }, seconds(1)));
  this->peer.reset();
  this->acceptor->non_blocking(true);
  boost::asio::ip::tcp::socket socket(this->fleet.Loop());
  ASSERT_TRUE(this->fleet.RunUntil(
      [&] {
        boost::system::error_code ignored;  // There is no connection yet.
        if (!socket.is_open()) {
          this->acceptor->accept(socket, ignored);
        }
        return socket.is_open();
      },
      seconds(1)));
  RawPeer second(std::move(socket));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return second.Count(wire::PeerFrame::kRequest) == 1; },
                                   seconds(1)));
  wire::PeerFrame refusal;
  refusal.mutable_reply()->set_call(second.Received().back().request().call());
  refusal.mutable_reply()->set_error(static_cast<std::uint32_t>(ErrorKind::kBodyTooLarge));
  second.Send(refusal);
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 1; }, seconds(1)));
  EXPECT_EQ(StatusOf(caller.Received()), 502) << caller.Received();
}

}  // namespace
}  // namespace masticpin
