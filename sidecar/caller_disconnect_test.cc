#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <memory>

#include "sidecar/local_executor.h"
#include "sidecar/peer_protocol.h"
#include "sidecar/tcp_address.h"
#include "sidecar/testing/raw_peer.h"
#include "sidecar/testing/sidecar_node_fixture.h"
#include "sidecar/testing/stalled_host.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the close of a caller's connection within which all work for the caller must end.
constexpr Duration kMaxWorkAfterClose = milliseconds(500);

/// Larger than all that a stalled host takes.
constexpr std::size_t kLargeBodyBytes = 300'000;

void IgnoreRequest(Connection&, const std::string&) {}

class CallerDisconnectTest : public SidecarNodeFixture {
 protected:
  /// Machine 0 has an instance of "front", machine 1 of "page".
  void AddMachines(const ScriptedServer::Handler& handler) {
    this->fleet.AddMachine("front", handler);
    this->fleet.AddMachine("page", handler);
    for (const std::string service : {"front", "page"}) {
      this->fleet.AddRoute(service + "-read", service, true);
      this->fleet.AddRoute(service + "-write", service, false);
    }
  }

  /// Lets a node that reads nothing send two requests: one with a response of `bytes`, and one that
  /// the instance works on.
  void StartWorkForASilentNode(std::size_t bytes) {
    this->AddMachines([this, bytes](Connection& connection, const std::string& request) {
      if (FieldOf(request, "Test-Id") == "large") {
        connection.Send(TestFleet::MakeResponse(request, std::string(bytes, 'x')));
      } else {
        this->working = connection.shared_from_this();
      }
    });
    this->fleet.Start();
    this->peer =
        std::make_unique<RawPeer>(this->fleet.Loop(), this->fleet.At(1).settings.peer_address,
                                  "page", "front", RawPeer::Reading::kNever);
    this->peer->Send(
        {RawPeer::MakeRequest(1, "work", true), RawPeer::MakeRequest(2, "large", true)});
    ASSERT_TRUE(this->fleet.RunUntil([&] { return this->RequestCount(1) == 2; }));
  }

  std::shared_ptr<Connection> working;
  std::unique_ptr<RawPeer> peer;

  /// Sends `count` requests of 4 KB on one connection to an instance that does not respond, closes
  /// the connection, and expects the work for it to end.
  void CloseAfterPipelinedRequests(int count) {
    this->AddMachines(IgnoreRequest);
    this->fleet.At(0).entry.slots = 40;
    this->fleet.Start();
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    const std::string padding = "Padding: " + std::string(4000, 'x') + "\r\n";
    for (int i = 0; i < count; ++i) {
      caller.Send(TestFleet::MakeRequest(std::to_string(i), "front-read", "GET", padding));
      this->fleet.RunFor(milliseconds(1));
    }
    this->fleet.RunFor(milliseconds(100));
    const std::size_t sent = this->RequestCount(0);
    ASSERT_GT(sent, 0U);

    caller.Close();
    this->fleet.RunFor(kMaxWorkAfterClose);
    EXPECT_EQ(this->RequestCount(0), sent);
    for (const auto& connection : this->fleet.At(0).upstream->Connections()) {
      EXPECT_TRUE(connection->IsClosedByPeer());
    }
  }
};

// Guards against a request that is sent although its caller has already closed the connection,
// whenever the node reads both late.
TEST_F(CallerDisconnectTest, RequestIsNotSentIfItsCallerHasClosedBeforeItIsRead) {
  this->AddMachines(IgnoreRequest);
  this->fleet.Start();
  this->fleet.RunFor(milliseconds(20));
  for (const std::string route : {"front-read", "front-write", "page-read", "page-write"}) {
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    caller.Send(TestFleet::MakeRequest(route, route));
    caller.Close();
    this->fleet.RunFor(milliseconds(200));
    EXPECT_EQ(this->RequestCount(0) + this->RequestCount(1), 0U) << route;
  }
}

// Guards against work for a caller that has closed a connection with more pipelined requests than
// the node passes on.
TEST_F(CallerDisconnectTest, PipelinedRequestsEndWithTheirConnection) {
  this->CloseAfterPipelinedRequests(60);
}

// Guards against the same with so many requests that the node does not read all of them.
TEST_F(CallerDisconnectTest, PipelinedRequestsEndWithAConnectionThatIsNotRead) {
  this->CloseAfterPipelinedRequests(88);
}

// Guards against a request that reaches another node together with its cancel frame, after the link
// was cut, and is sent because its frame comes first.
TEST_F(CallerDisconnectTest, DelayedRequestIsNotSentIfItsCancelArrivesWithIt) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  RawPeer peer(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  std::size_t timely = 0;
  for (const bool idempotent : {true, false}) {
    // Leaves an open connection to the instance, on which the next request is written at once.
    peer.Send(RawPeer::MakeRequest(++timely, "timely", true));
    ASSERT_TRUE(
        this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kReply) == timely; }));
    const std::uint64_t late_call = 100 + timely;
    peer.Send({RawPeer::MakeRequest(late_call, "late", idempotent, seconds(1)),
               RawPeer::MakeCancel(late_call)});
    this->fleet.RunFor(milliseconds(300));
    EXPECT_EQ(this->RequestCount(1), timely) << "idempotent: " << idempotent;
  }
}

// Guards against a delayed request that is sent although its node has given up the link.
TEST_F(CallerDisconnectTest, DelayedRequestIsNotSentIfItsNodeHasClosedTheLink) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  auto peer = std::make_unique<RawPeer>(this->fleet.Loop(), this->fleet.At(1).settings.peer_address,
                                        "page", "front");
  peer->Send(RawPeer::MakeRequest(1, "timely", true));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return peer->Count(wire::PeerFrame::kReply) == 1; }));
  peer->Send(RawPeer::MakeRequest(2, "late", true, seconds(1)));
  peer->Send(RawPeer::MakeRequest(3, "late", false, seconds(1)));
  peer.reset();
  this->fleet.RunFor(milliseconds(400));
  EXPECT_EQ(this->RequestCount(1), 1U);
}

// Guards against the same on a new link, whose first message is taken for one that was on time.
TEST_F(CallerDisconnectTest, QueuedRequestsOfANewLinkAreNotSentIfItsNodeHasClosedIt) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  // Leaves an open connection to the instance, on which the next request is written at once.
  RawPeer other(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  other.Send(RawPeer::MakeRequest(1, "timely", true));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return other.Count(wire::PeerFrame::kReply) == 1; }));
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    wire::PeerFrame hello;
    hello.mutable_hello()->set_protocol(kPeerProtocolVersion);
    hello.mutable_hello()->set_service("page");
    hello.mutable_hello()->set_answers_receiver(true);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(hello, &stream);
    for (std::uint64_t call = 1; call <= 3; ++call) {
      google::protobuf::util::SerializeDelimitedToZeroCopyStream(
          RawPeer::MakeRequest(call, std::to_string(call), true, seconds(1)), &stream);
    }
  }
  boost::asio::ip::tcp::socket socket(this->fleet.Loop());
  socket.connect(ToEndpoint(this->fleet.At(1).settings.peer_address));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  socket.close();
  this->fleet.RunFor(milliseconds(400));
  EXPECT_EQ(this->RequestCount(1), 1U);
}

// Guards against a delayed request that is run with more time than its caller waits.
TEST_F(CallerDisconnectTest, DelayedRequestRunsWithTheTimeThatItsNodeConfirms) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  RawPeer peer(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  peer.Send(RawPeer::MakeRequest(1, "late", false));
  ASSERT_TRUE(
      this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kConfirmationRequest) == 1; }));
  peer.Send(RawPeer::MakeConfirmation(1, milliseconds(700)));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->RequestCount(1) == 1; }));
  EXPECT_LE(std::stoi(FieldOf(this->fleet.At(1).upstream->Requests()[0], "Test-Remaining-Ms")),
            700);
}

// Guards against a delayed request that waits for the answer of a node on a slow link, and against
// one that is run for as long after its deadline as it was delayed.
TEST_F(CallerDisconnectTest, DelayedRequestRunsWithoutAnAnswerOfItsNode) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  RawPeer peer(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  peer.Send(RawPeer::MakeRequest(1, "timely", true));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->RequestCount(1) == 1; }));
  peer.Send(RawPeer::MakeRequest(2, "late", true, seconds(2)));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return this->RequestCount(1) == 2; }, seconds(1)));
  EXPECT_LE(std::stoi(FieldOf(this->fleet.At(1).upstream->Requests()[1], "Test-Remaining-Ms")),
            1010);
}

// Guards against a node that does not tell whether it still waits, so that each delayed request
// loses time.
TEST_F(CallerDisconnectTest, NodeConfirmsOnlyRequestsThatItWaitsFor) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  this->fleet.Kill(1);
  const SocketAddress& address = this->fleet.At(1).settings.peer_address;
  boost::asio::ip::tcp::acceptor acceptor(this->fleet.Loop());
  ASSERT_EQ(OpenAcceptor(acceptor, address, 1), "");
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("1", "page-read", "GET", "Test-Remaining-Ms: 2000\r\n"));
  this->fleet.RunFor(milliseconds(50));
  RawPeer peer(acceptor.accept());
  ASSERT_TRUE(this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kRequest) == 1; }));
  const std::uint64_t call = peer.Received().back().request().call();
  wire::PeerFrame question;
  question.mutable_confirmation_request()->set_call(call);
  peer.Send(question);
  ASSERT_TRUE(
      this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kConfirmation) == 1; }));
  const wire::Confirmation& confirmation = peer.Received().back().confirmation();
  EXPECT_EQ(confirmation.call(), call);
  EXPECT_GT(confirmation.remaining_us(), 0U);
  EXPECT_LT(confirmation.remaining_us(), 2'000'000U);

  caller.Close();
  ASSERT_TRUE(this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kCancel) == 1; }));
  peer.Send(question);
  this->fleet.RunFor(milliseconds(100));
  EXPECT_EQ(peer.Count(wire::PeerFrame::kConfirmation), 1U);
}

// Guards against work for the callers of a node that is cut off: their cancel frames cannot arrive,
// and the node has given up the link itself after 1.2 s.
TEST_F(CallerDisconnectTest, WorkForANodeThatIsCutOffEnds) {
  this->StartWorkForASilentNode(0);
  this->peer->CutOff();
  EXPECT_TRUE(this->fleet.RunUntil([&] { return this->working->IsClosedByPeer(); }, seconds(2)));
}

// Guards against an answer that is lost because the link was cut for a while: a request that cannot
// be repeated runs to its end, and its caller's node waits for it.
TEST_F(CallerDisconnectTest, AnswerForANodeThatWasCutOffIsDelivered) {
  std::vector<std::pair<Connection*, std::string>> held;
  this->AddMachines([&](Connection& connection, const std::string& request) {
    held.emplace_back(&connection, request);
  });
  this->fleet.Start();
  RawPeer peer(this->fleet.Loop(), this->fleet.At(1).settings.peer_address, "page", "front");
  peer.Send({RawPeer::MakeRequest(1, "write", false), RawPeer::MakeRequest(2, "read", true)});
  ASSERT_TRUE(this->fleet.RunUntil([&] { return held.size() == 2; }));
  peer.CutOff();
  this->fleet.RunFor(milliseconds(2000));
  for (const auto& [connection, request] : held) {
    const bool write = FieldOf(request, "Test-Id") == "write";
    EXPECT_EQ(connection->IsClosedByPeer(), !write);
    if (write) {
      connection->Send(TestFleet::MakeResponse(request));
    }
  }
  peer.Restore();
  ASSERT_TRUE(this->fleet.RunUntil([&] { return peer.Count(wire::PeerFrame::kReply) == 2; }));
  for (const wire::PeerFrame& frame : peer.Received()) {
    if (frame.body_case() == wire::PeerFrame::kReply) {
      EXPECT_EQ(frame.reply().status(), frame.reply().call() == 2 ? 0U : 200U);
    }
  }
}

// Guards against a connection that is kept for a host that is gone.
TEST_F(CallerDisconnectTest, SessionOfANodeThatIsCutOffIsClosed) {
  this->StartWorkForASilentNode(0);
  this->peer->CutOff();
  this->fleet.RunFor(seconds(4));
  this->peer->Restore();
  this->peer->StartReading();
  EXPECT_TRUE(this->fleet.RunUntil([&] { return this->peer->IsClosedByPeer(); }));
}

// Guards against ending the work for callers whose node is only paused and will read the replies.
TEST_F(CallerDisconnectTest, WorkForANodeThatIsPausedGoesOn) {
  this->StartWorkForASilentNode(0);
  this->fleet.RunFor(seconds(2));
  EXPECT_FALSE(this->working->IsClosedByPeer());
}

// Guards against the same when the paused node's receive buffer is full: its host goes on
// answering, although it acknowledges no further bytes.
TEST_F(CallerDisconnectTest, WorkForANodeWhoseReceiveBufferIsFullGoesOn) {
  this->StartWorkForASilentNode(kLargeBodyBytes);
  this->fleet.RunFor(seconds(3));
  EXPECT_FALSE(this->working->IsClosedByPeer());
}

/// Whether the node that does not read accepts bodies in parts. Nodes of the previous version do
/// not.
class StuckLinkTest : public CallerDisconnectTest, public testing::WithParamInterface<bool> {};

// Guards against a request that the kernel still delivers to another node after its caller has
// left, when the cut of the link ends.
TEST_P(StuckLinkTest, RequestIsNotDeliveredAfterItsCallerLeft) {
  this->AddMachines(RespondToAll);
  this->fleet.Start();
  this->fleet.Kill(1);
  const SocketAddress& address = this->fleet.At(1).settings.peer_address;
  StalledHost peer(this->fleet.Loop(), address.ip, address.port);
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(
      TestFleet::MakeRequest("1", "page-read", "POST", "", std::string(kLargeBodyBytes, 'x')));
  this->fleet.RunUntil([&] { return peer.IsConnected(); });
  peer.Send(RawPeer::Encode(RawPeer::MakeHello(GetParam())));
  this->fleet.RunFor(milliseconds(100));

  caller.Close();
  this->fleet.RunFor(kMaxWorkAfterClose);
  peer.Resume();
  this->fleet.RunUntil([&] { return peer.IsClosedByPeer(); }, seconds(1));
  EXPECT_TRUE(peer.IsClosedByPeer());
  EXPECT_LT(peer.Received().size(), kLargeBodyBytes);
}

INSTANTIATE_TEST_SUITE_P(BodyParts, StuckLinkTest, testing::Bool());

/// Tests of the executor alone, with a server that is not an instance of a fleet.
class CancelledExecutionTest : public testing::Test,
                               private LocalExecutorObserver,
                               private ExecutionObserver {
 protected:
  LocalExecutor& StartExecutor(const SocketAddress& address) {
    LocalExecutorObserver& observer = *this;
    this->executor = std::make_unique<LocalExecutor>(
        this->loop, this->clock, this->timers, this->random, this->dialect, address,
        HttpClientSettings{}, InstanceRetryBudgetSettings{}, this->stop, observer);
    return *this->executor;
  }

  void Execute(bool idempotent, Duration remaining, std::size_t body_bytes) {
    wire::ExecutionRequest request = RawPeer::MakeRequest(kCall, "request", idempotent).request();
    request.set_method("POST");
    request.set_remaining_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(remaining).count()));
    const Ref<const MessageBody> body(
        new MessageBody(std::string(body_bytes, 'x'), BodyReservation()));
    this->executor->Execute(std::move(request), body, *this);
  }

  void RunFor(Duration time) {
    this->loop.restart();
    this->loop.run_for(time);
  }

  static constexpr std::uint64_t kCall = 7;

  boost::asio::io_context loop;
  SystemClock clock;
  SeededRandom random{5};
  LoopTimerService timers{loop, clock};
  HttpDialect dialect = FakeDeployment().Dialect();
  StopSchedule stop;
  std::unique_ptr<LocalExecutor> executor;

 private:
  void OnInstanceReplaced(const std::string&) override {}
  void OnInstanceStateOutdated() override {}
  void OnExecutionReply(wire::ExecutionReply) override {}
  void OnExecutionLost(ErrorKind, std::string_view) override {}
  void OnExecutionStalled() override {}
};

// Guards against a request that is not idempotent and is sent when its connection opens, after its
// caller has left.
TEST_F(CancelledExecutionTest, RequestWithoutAConnectionIsNotSent) {
  ScriptedServer server(this->loop, "127.0.0.1", IgnoreRequest);
  this->StartExecutor(server.Address());
  for (const bool idempotent : {true, false}) {
    this->Execute(idempotent, seconds(3), 1);
    this->executor->Cancel(kCall);
    this->RunFor(milliseconds(200));
    EXPECT_EQ(server.Requests().size(), 0U) << "idempotent: " << idempotent;
  }
}

// Guards against a request that the kernel still delivers to the instance after its caller has
// left, when the cut between the node and the instance ends.
TEST_F(CancelledExecutionTest, RequestThatTheHostDidNotAcknowledgeIsNotDelivered) {
  for (const bool idempotent : {true, false}) {
    StalledHost server(this->loop, "127.0.0.1");
    this->StartExecutor(server.Address());
    this->Execute(idempotent, seconds(3), kLargeBodyBytes);
    this->RunFor(milliseconds(100));
    this->executor->Cancel(kCall);
    server.Resume();
    this->RunFor(milliseconds(300));
    EXPECT_TRUE(server.IsClosedByPeer()) << "idempotent: " << idempotent;
    EXPECT_LT(server.Received().size(), kLargeBodyBytes) << "idempotent: " << idempotent;
  }
}

// Guards against the same after the deadline of the request, when its caller was told that it may
// have run.
TEST_F(CancelledExecutionTest, RequestWhoseDeadlinePassedIsNotDelivered) {
  StalledHost server(this->loop, "127.0.0.1");
  this->StartExecutor(server.Address());
  this->Execute(true, milliseconds(100), kLargeBodyBytes);
  this->RunFor(milliseconds(400));
  server.Resume();
  this->RunFor(milliseconds(300));
  EXPECT_TRUE(server.IsClosedByPeer());
  EXPECT_LT(server.Received().size(), kLargeBodyBytes);
}

}  // namespace
}  // namespace masticpin
