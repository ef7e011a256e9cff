#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>

#include "sidecar/tcp_address.h"
#include "sidecar/testing/raw_peer.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than a node relies on a silent peer.
constexpr Duration kPause = milliseconds(1600);

/// Tests of a node whose peer does not run for a while: its host acknowledges what it receives, and
/// its instance goes on working.
class SilentPeerTest : public SidecarNodeFixture {
 protected:
  /// Machine 0 has an instance of "front", machine 1 one of "page", whose node a test plays.
  void Start(std::size_t other_page_machines = 0) {
    this->fleet.AddMachine("front", RespondToAll);
    this->fleet.AddMachine("page", RespondToAll);
    for (std::size_t i = 0; i < other_page_machines; ++i) {
      this->fleet.AddMachine("page", [this](Connection& connection, const std::string& request) {
        this->held.emplace_back(&connection, request);
        if (!this->hold) {
          connection.Send(TestFleet::MakeResponse(request, "elsewhere"));
        }
      });
    }
    for (std::size_t machine = 0; machine < other_page_machines + 2; ++machine) {
      this->fleet.At(machine).settings.retries.slack = this->retry_slack;
      this->fleet.At(machine).settings.retries.ratio = this->retry_slack == 0 ? 0 : 0.2;
    }
    this->fleet.AddRoute("read", "page", true).timeout = this->time_limit;
    this->fleet.AddRoute("write", "page", false).timeout = this->time_limit;
    this->fleet.Start();
    this->fleet.Kill(1);
    this->fleet.RunFor(milliseconds(20));
    const SocketAddress& address = this->fleet.At(1).settings.peer_address;
    this->acceptor.emplace(this->fleet.Loop());
    ASSERT_EQ(OpenAcceptor(*this->acceptor, address, 8), "");
  }

  /// Sends requests until one arrives at the silent peer.
  void SendToSilentPeer(const std::string& route, const std::string& method) {
    for (int i = 0; i < 50 && this->peer == nullptr; ++i) {
      this->caller = std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0));
      this->caller->Send(TestFleet::MakeRequest("q" + std::to_string(i), route, method));
      this->fleet.RunFor(milliseconds(20));
      this->acceptor->non_blocking(true);
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(this->fleet.Loop());
      this->acceptor->accept(socket, error);
      if (!error) {
        this->peer = std::make_unique<RawPeer>(std::move(socket));
      }
    }
    ASSERT_NE(this->peer, nullptr);
    ASSERT_TRUE(
        this->fleet.RunUntil([&] { return this->peer->Count(wire::PeerFrame::kRequest) == 1; }));
  }

  /// Sends an answer of the silent peer's instance: to the request `call`, or to the last one.
  void Answer(std::optional<std::uint64_t> call = std::nullopt, std::uint32_t status = 200) {
    wire::PeerFrame frame;
    wire::ExecutionReply& reply = *frame.mutable_reply();
    for (const wire::PeerFrame& received : this->peer->Received()) {
      if (received.body_case() == wire::PeerFrame::kRequest) {
        reply.set_call(call.value_or(received.request().call()));
      }
    }
    reply.set_status(status);
    reply.set_reason("Reason");
    reply.set_header_lines("Test-Seal: seal\r\n");
    reply.set_body("first");
    reply.set_reached_instance(true);
    this->peer->Send(frame);
  }

  void ExpectAnswer(const std::string& body) {
    ASSERT_TRUE(
        this->fleet.RunUntil([&] { return this->caller->ResponseCount() == 1; }, seconds(2)));
    EXPECT_EQ(StatusOf(this->caller->Received()), 200);
    EXPECT_TRUE(this->caller->Received().ends_with(body));
  }

  std::optional<boost::asio::ip::tcp::acceptor> acceptor;
  std::unique_ptr<RawPeer> peer;
  std::unique_ptr<RawCaller> caller;
  Duration time_limit = seconds(5);
  /// Number of repeats of the retry budget; 0 denies all.
  int retry_slack = 48;
  /// Whether the other instances keep their requests, and the requests that reached them.
  bool hold = false;
  std::vector<std::pair<Connection*, std::string>> held;
};

// Guards against a 504 for a request that is at work, because the node of its instance got no
// processor time.
TEST_F(SilentPeerTest, RequestAtWorkGetsItsAnswerAfterThePause) {
  this->Start();
  this->SendToSilentPeer("write", "POST");
  this->fleet.RunFor(kPause);
  EXPECT_EQ(this->caller->ResponseCount(), 0);
  this->Answer();
  this->ExpectAnswer("first");
}

// Guards against a peer that is found silent after 0.5 s already, because another request was sent
// to it while it was asked for a sign of life.
TEST_F(SilentPeerTest, FurtherRequestsDoNotShortenTheWaitForAReply) {
  this->Start(1);
  this->SendToSilentPeer("read", "GET");
  const std::size_t elsewhere = this->RequestCount(2);
  this->fleet.RunFor(milliseconds(600));
  std::vector<std::unique_ptr<RawCaller>> others;
  for (int i = 0; i < 20; ++i) {
    others.push_back(
        std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
    others.back()->Send(TestFleet::MakeRequest("other-" + std::to_string(i), "write", "POST"));
  }
  this->fleet.RunFor(milliseconds(100));
  ASSERT_GT(this->peer->Count(wire::PeerFrame::kRequest), 1U);
  EXPECT_GT(this->RequestCount(2), elsewhere);
  EXPECT_EQ(this->caller->ResponseCount(), 0) << "the first request was repeated after 0.6 s";
}

// Guards against the same at a node that is itself stopping.
TEST_F(SilentPeerTest, RequestAtWorkGetsItsAnswerFromAStoppingNode) {
  this->Start();
  this->SendToSilentPeer("write", "POST");
  this->fleet.At(0).node->Stop();
  this->fleet.RunFor(kPause);
  this->Answer();
  this->ExpectAnswer("first");
}

// Guards against the same for a request that could be repeated, but has no other instance.
TEST_F(SilentPeerTest, RequestWithoutAnotherInstanceGetsItsAnswerAfterThePause) {
  this->Start();
  this->SendToSilentPeer("read", "GET");
  this->fleet.RunFor(kPause);
  this->Answer();
  this->ExpectAnswer("first");
}

// Guards against the same for a request whose repeat the retry budget does not cover.
TEST_F(SilentPeerTest, RequestWhoseRepeatIsDeniedGetsItsAnswerAfterThePause) {
  this->retry_slack = 0;
  this->Start(1);
  this->SendToSilentPeer("read", "GET");
  const std::size_t served = this->RequestCount(2);
  this->fleet.RunFor(kPause);
  EXPECT_EQ(this->RequestCount(2), served) << "the repeat was not denied";
  this->Answer();
  this->ExpectAnswer("first");
}

// Guards against a caller that waits for a silent peer although another instance can serve it.
TEST_F(SilentPeerTest, RequestIsRepeatedElsewhereAfterSilence) {
  this->Start(1);
  this->SendToSilentPeer("read", "GET");
  this->ExpectAnswer("elsewhere");
  EXPECT_TRUE(this->fleet.RunUntil([&] {
    return this->peer->Count(wire::PeerFrame::kCancel) == 1 || this->peer->IsClosedByPeer();
  })) << "the first attempt goes on for nobody";
}

// Guards against a caller that waits for the repeat although the first instance has answered.
TEST_F(SilentPeerTest, FirstAnswerIsUsedWhileTheRepeatRuns) {
  this->Start(1);
  this->SendToSilentPeer("read", "GET");
  this->held.clear();
  this->hold = true;
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->held.size() == 1; }));
  this->Answer();
  this->ExpectAnswer("first");
  EXPECT_TRUE(this->fleet.RunUntil([&] { return this->held[0].first->IsClosedByPeer(); }))
      << "the repeat goes on for nobody";
}

// Guards against new requests for a peer that is known to be silent, while one still waits for it.
TEST_F(SilentPeerTest, NewRequestsGoElsewhereDuringThePause) {
  this->Start(1);
  this->SendToSilentPeer("write", "POST");
  this->fleet.RunFor(kPause);
  for (int i = 0; i < 10; ++i) {
    const std::string answer =
        this->SendRequest(TestFleet::MakeRequest("new-" + std::to_string(i), "write", "POST"));
    EXPECT_TRUE(answer.ends_with("elsewhere"));
  }
  this->Answer();
  this->ExpectAnswer("first");
}

// Guards against a request that waits on for an instance whose node has exited.
TEST_F(SilentPeerTest, EndOfTheConnectionEndsTheWait) {
  this->Start();
  this->SendToSilentPeer("write", "POST");
  this->fleet.RunFor(kPause);
  this->peer.reset();
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->caller->ResponseCount() == 1; }, seconds(1)));
  EXPECT_EQ(StatusOf(this->caller->Received()), 504);
}

// Guards against requests that end because their instance was registered with another address.
TEST_F(SilentPeerTest, RequestAtWorkGetsItsAnswerAfterAChangeOfAddress) {
  this->Start();
  this->SendToSilentPeer("write", "POST");
  UpstreamInstance moved = this->fleet.At(1).entry;
  moved.address.ip = "127.0.0.99";
  moved.revision.number += 100;
  moved.listed_revision.number += 100;
  this->fleet.At(0).deployment->observer->OnInstanceEntry(moved);
  this->SendRequest(TestFleet::MakeRequest("new", "write", "POST"), milliseconds(300));
  this->Answer();
  this->ExpectAnswer("first");
}

/// Whether the silent peer accepts bodies in parts. Nodes of the previous version do not.
class FullPeerBufferTest : public SilentPeerTest, public testing::WithParamInterface<bool> {
 protected:
  /// Size of the bodies, or parts of bodies, that have arrived at the peer.
  std::size_t ReceivedBodyBytes() const {
    std::size_t bytes = 0;
    for (const wire::PeerFrame& frame : this->peer->Received()) {
      bytes += frame.request().body().size() + frame.request_part().bytes().size();
    }
    return bytes;
  }
};

// Guards against a 504 for requests at work because the receive buffer of a paused peer is full:
// the kernel does not tell that from a host which is gone.
TEST_P(FullPeerBufferTest, RequestsAtWorkGetTheirAnswers) {
  constexpr std::size_t kUploadBytes = std::size_t{1} << 20;
  this->fleet.limits.max_body_bytes = std::size_t{16} << 20;
  this->Start();
  boost::asio::ip::tcp::socket socket(this->fleet.Loop());
  bool connected = false;
  this->acceptor->async_accept(socket, [&](const boost::system::error_code& error) {
    connected = !error;
    boost::asio::write(socket,
                       boost::asio::buffer(RawPeer::Encode(RawPeer::MakeHello(GetParam()))));
  });
  std::vector<std::unique_ptr<RawCaller>> uploads;
  for (int i = 0; i < 8; ++i) {
    uploads.push_back(
        std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
    uploads.back()->Send(TestFleet::MakeRequest("up" + std::to_string(i), "write", "POST", "",
                                                std::string(kUploadBytes, 'x')));
    this->fleet.RunFor(milliseconds(20));
  }
  ASSERT_TRUE(connected);
  this->fleet.RunFor(milliseconds(3300));
  this->peer = std::make_unique<RawPeer>(std::move(socket));
  ASSERT_TRUE(this->fleet.RunUntil([&] {
    return this->peer->Count(wire::PeerFrame::kRequest) == uploads.size() &&
           this->ReceivedBodyBytes() == uploads.size() * kUploadBytes;
  }));
  for (const wire::PeerFrame& frame : this->peer->Received()) {
    if (frame.body_case() == wire::PeerFrame::kRequest) {
      this->Answer(frame.request().call());
    }
  }
  for (const auto& upload : uploads) {
    ASSERT_TRUE(this->fleet.RunUntil([&] { return upload->ResponseCount() == 1; }, seconds(1)));
    EXPECT_EQ(StatusOf(upload->Received()), 200);
  }
}

INSTANTIATE_TEST_SUITE_P(BodyParts, FullPeerBufferTest, testing::Bool());

// Guards against an instance that gets no requests any more, because the link to its previous
// address was silent when the last request on it ended.
TEST_F(SilentPeerTest, InstanceIsUsedAfterTheLinkToItsPreviousAddressWasSilent) {
  this->time_limit = milliseconds(2500);
  this->Start(1);
  this->SendToSilentPeer("write", "POST");
  UpstreamInstance moved = this->fleet.At(1).entry;
  moved.address.ip = "127.0.0.99";
  moved.revision.number += 100;
  moved.listed_revision.number += 100;
  this->fleet.At(0).deployment->observer->OnInstanceEntry(moved);
  // Nobody listens at the new address yet; some of these try it and replace the link.
  for (int i = 0; i < 20; ++i) {
    this->SendRequest(TestFleet::MakeRequest("n" + std::to_string(i), "write", "POST"));
    this->fleet.RunFor(milliseconds(20));
  }
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->caller->ResponseCount() == 1; }, seconds(4)));
  boost::asio::ip::tcp::acceptor moved_acceptor(this->fleet.Loop());
  SocketAddress address = this->fleet.At(1).settings.peer_address;
  address.ip = moved.address.ip;
  ASSERT_EQ(OpenAcceptor(moved_acceptor, address, 64), "");
  bool connected = false;
  boost::asio::ip::tcp::socket socket(this->fleet.Loop());
  moved_acceptor.async_accept(socket,
                              [&](const boost::system::error_code& error) { connected = !error; });
  for (int i = 0; i < 200 && !connected; ++i) {
    RawCaller other(this->fleet.Loop(), this->fleet.RequestAddress(0));
    other.Send(TestFleet::MakeRequest("m" + std::to_string(i), "read"));
    this->fleet.RunFor(milliseconds(20));
    other.Close();
  }
  EXPECT_TRUE(connected);
}

// Guards against an answer of the node's own in place of one of a server: the failure of the first
// instance arrives while the repeat is in progress, and the repeat breaks.
TEST_F(SilentPeerTest, FailureOfTheFirstInstanceIsPassedOnIfTheRepeatBreaks) {
  this->Start(1);
  this->SendToSilentPeer("read", "GET");
  this->held.clear();
  this->hold = true;
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->held.size() == 1; }));
  this->Answer(std::nullopt, 500);
  this->fleet.RunFor(milliseconds(100));
  this->held[0].first->Reset();
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->caller->ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(this->caller->Received()), 500);
  EXPECT_EQ(FieldOf(this->caller->Received(), "Test-Seal"), "seal");
}

}  // namespace
}  // namespace masticpin
