#include "sidecar/sidecar_node.h"

#include <gtest/gtest.h>

#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using SidecarNodeTest = SidecarNodeFixture;

// Guards against requests that are modified on their way to the server, and against forwarding
// hop-by-hop fields or fields that the node must set itself.
TEST_F(SidecarNodeTest, RequestIsForwardedUnchanged) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  const std::string target = "/r/%2F%41//../x;y?q=%20&a=/r/";
  const std::string response =
      this->SendRequest("POST " + target +
                        " HTTP/1.1\r\nHost: test.example\r\nTest-Id: abc\r\nTest-Caller: forged\r\n"
                        "X-Other: Kept Value\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
                        "Test-Remaining-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  ASSERT_EQ(StatusOf(response), 200) << response;
  ASSERT_EQ(this->RequestCount(0), 1U);
  const std::string& request = this->fleet.At(0).upstream->Requests()[0];
  EXPECT_EQ(request.substr(0, request.find("\r\n")), "POST " + target + " HTTP/1.1");
  EXPECT_EQ(request.substr(request.size() - 7), "abcdefg");
  EXPECT_EQ(FieldOf(request, "Test-Id"), "abc");
  EXPECT_EQ(FieldOf(request, "Test-Caller"), "page");
  EXPECT_EQ(request.find("forged"), std::string::npos);
  EXPECT_EQ(FieldOf(request, "X-Other"), "Kept Value");
  EXPECT_EQ(FieldOf(request, "X-Hop"), "");
  EXPECT_EQ(FieldOf(request, "TE"), "");
  EXPECT_EQ(FieldOf(request, "Content-Type"), "");
  EXPECT_EQ(FieldOf(request, "Test-Expected"), "i-0");
  const int left = std::stoi(FieldOf(request, "Test-Remaining-Ms"));
  EXPECT_GT(left, 500);
  EXPECT_LE(left, 1000);
  EXPECT_EQ(FieldOf(response, "Content-Type"), "");
  EXPECT_EQ(FieldOf(response, "Test-Seal"), "seal");
  EXPECT_EQ(FieldOf(response, "Test-Id"), "abc");
}

// Guards against refusing long paths and header lines because of a library's own limits.
TEST_F(SidecarNodeTest, LongPathAndHeaderLineAreServed) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  const std::string path = "/r/" + std::string(3000, 'p');
  EXPECT_EQ(StatusOf(this->SendRequest("GET " + path +
                                       " HTTP/1.1\r\nHost: test.example\r\nTest-Id: a\r\nX-Long: " +
                                       std::string(9000, 'h') + "\r\n\r\n")),
            200);
  EXPECT_EQ(StatusOf(this->SendRequest(
                "GET /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: b\r\nX-Long: " +
                std::string(20000, 'h') + "\r\n\r\n")),
            431);
}

// Guards against request smuggling: the node and a server that read ambiguous framing differently
// would not agree about where the next request begins.
TEST_F(SidecarNodeTest, AmbiguousFramingIsRejectedAndConnectionClosed) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  const std::string start = "POST /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: a\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"),
        std::string("Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
        std::string("Content-Length : 3\r\n\r\nabc"),
        std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n")}) {
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    caller.Send(start + rest);
    EXPECT_TRUE(this->fleet.RunUntil([&] { return caller.IsClosedByPeer(); })) << rest;
    EXPECT_EQ(StatusOf(caller.Received()), 400) << rest;
  }
  EXPECT_EQ(this->RequestCount(0), 0U);
}

// Guards against pipelined requests that block each other or receive their responses out of order.
TEST_F(SidecarNodeTest, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder) {
  std::vector<std::pair<Connection*, std::string>> held;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    held.emplace_back(&connection, request);
  });
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("1", "r") + TestFleet::MakeRequest("2", "r") +
              TestFleet::MakeRequest("3", "r"));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return held.size() == 3; }));
  for (auto it = held.rbegin(); it != held.rend(); ++it) {
    const std::string id = FieldOf(it->second, "Test-Id");
    it->first->Send(TestFleet::MakeResponse(it->second, "body-" + id));
    this->fleet.RunFor(milliseconds(20));
  }
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 3; }));
  const std::string& text = caller.Received();
  EXPECT_LT(text.find("body-1"), text.find("body-2"));
  EXPECT_LT(text.find("body-2"), text.find("body-3"));
}

TEST_F(SidecarNodeTest, RequestsWithoutConfigurationOrRouteAreRefused) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "r"))), 404);
  TestFleet other;
  other.AddMachine("page", RespondToAll);
  TestFleet::Machine& machine = other.At(0);
  SystemClock clock;
  SeededRandom random(1);
  LoopTimerService timers(other.Loop(), clock);
  machine.node = std::make_unique<SidecarNode>(
      other.Loop(), clock, timers, random, machine.settings, [&] { return machine.settings; },
      *machine.deployment);
  ASSERT_EQ(machine.node->Start(), "");
  RawCaller caller(other.Loop(), machine.settings.request_address);
  caller.Send(TestFleet::MakeRequest("1", "r"));
  ASSERT_TRUE(other.RunUntil([&] { return caller.ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(caller.Received()), 503);
  EXPECT_NE(FieldOf(caller.Received(), "Retry-After"), "");
  RawCaller ready(other.Loop(), machine.settings.ready_address);
  ready.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(other.RunUntil([&] { return ready.ResponseCount() == 1; }));
  EXPECT_EQ(StatusOf(ready.Received()), 503);
  machine.node.reset();
}

// Guards against a response without a length that is truncated or forwarded without a length: its
// body is complete only if the server closes the connection gracefully.
TEST_F(SidecarNodeTest, ResponseWithoutLengthIsCompleteOnlyAtEndOfConnection) {
  bool reset = false;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    connection.Send("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: " + FieldOf(request, "Test-Id") +
                    "\r\n\r\nthe whole");
    if (reset) {
      connection.Reset();
    } else {
      connection.Close();
    }
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  const std::string whole = this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  EXPECT_EQ(StatusOf(whole), 200);
  EXPECT_EQ(FieldOf(whole, "Content-Length"), "9");
  reset = true;
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("2", "w", "POST", "", "x"))), 502);
}

// Guards against a response that the server sends a second time, after a later request, and that is
// forwarded as the response to the later request.
TEST_F(SidecarNodeTest, DuplicateResponseIsSkipped) {
  std::string earlier;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    if (!earlier.empty()) {
      connection.Send(TestFleet::MakeResponse(earlier, "response to the earlier request"));
    }
    connection.Send(TestFleet::MakeResponse(request, "right"));
    earlier = request;
  });
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  ASSERT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "r"))), 200);
  const std::string second = this->SendRequest(TestFleet::MakeRequest("2", "r"));
  EXPECT_EQ(StatusOf(second), 200);
  EXPECT_EQ(second.substr(second.size() - 5), "right");
  // More duplicates may follow on the connection, so it is not reused.
  EXPECT_TRUE(this->fleet.RunUntil(
      [&] { return this->fleet.At(0).upstream->Connections()[0]->IsClosedByPeer(); }));
}

// Guards against taking extra bytes after a complete response for the next response.
TEST_F(SidecarNodeTest, ExtraBytesAfterResponseCloseConnection) {
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    connection.Send(TestFleet::MakeResponse(request) + "HTTP/1.1 200 OK\r\nTest-Seal: x\r\n\r\n");
  });
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "r"))), 200);
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("2", "r"))), 200);
  EXPECT_EQ(this->fleet.At(0).upstream->Connections().size(), 2U);
}

// Guards against forwarding a success that no server produced.
TEST_F(SidecarNodeTest, SuccessWithoutSealIsNotForwarded) {
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    connection.Send("HTTP/1.1 200 OK\r\nTest-Id: " + FieldOf(request, "Test-Id") +
                    "\r\nContent-Length: 2\r\n\r\nok");
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"))), 502);
}

// Guards against a server's error response that is replaced or loses its seal.
TEST_F(SidecarNodeTest, ServerErrorIsForwardedUnchanged) {
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    connection.Send(TestFleet::MakeResponse(request, "reason", "", "500 Oops"));
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  const std::string response = this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  EXPECT_EQ(StatusOf(response), 500);
  EXPECT_EQ(FieldOf(response, "Test-Seal"), "seal");
}

// Guards against work for callers that have disconnected, and against aborting non-idempotent
// requests, which cannot be retried.
TEST_F(SidecarNodeTest, CallerDisconnectCancelsOnlyIdempotentRequests) {
  this->fleet.AddMachine("page", [](Connection&, const std::string&) {});
  this->fleet.AddRoute("read", "page", true);
  this->fleet.AddRoute("write", "page", false);
  this->fleet.Start();
  for (const bool idempotent : {true, false}) {
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    const std::size_t before = this->RequestCount(0);
    caller.Send(TestFleet::MakeRequest("1", idempotent ? "read" : "write"));
    ASSERT_TRUE(this->fleet.RunUntil([&] { return this->RequestCount(0) > before; }));
    const auto connection = this->fleet.At(0).upstream->Connections().back();
    caller.Close();
    const Duration limit = idempotent ? Duration(seconds(5)) : Duration(milliseconds(400));
    EXPECT_EQ(this->fleet.RunUntil([&] { return connection->IsClosedByPeer(); }, limit),
              idempotent);
  }
}

// Guards against callers that wait longer than the route's timeout, and against servers that
// continue to work on a request whose timeout has expired.
TEST_F(SidecarNodeTest, RouteTimeoutEndsTheRequest) {
  this->fleet.AddMachine("page", [](Connection&, const std::string&) {});
  this->fleet.AddRoute("r", "page", true).timeout = milliseconds(300);
  this->fleet.Start();
  const TimePoint start = std::chrono::steady_clock::now();
  const std::string response =
      this->SendRequest(TestFleet::MakeRequest("1", "r", "GET", "Test-Remaining-Ms: 5000\r\n"));
  const Duration took = std::chrono::steady_clock::now() - start;
  EXPECT_EQ(StatusOf(response), 504);
  EXPECT_GE(took, milliseconds(290));
  // Far below the time for which the caller would wait, so the response is not caused by the
  // caller's own deadline.
  EXPECT_LT(took, seconds(3));
  EXPECT_TRUE(this->fleet.RunUntil(
      [&] { return this->fleet.At(0).upstream->Connections()[0]->IsClosedByPeer(); }));
}

TEST_F(SidecarNodeTest, MetricsAreServed) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  ASSERT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "r"))), 200);
  RawCaller caller(this->fleet.Loop(), this->fleet.At(0).settings.metrics_address);
  caller.Send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 1; }));
  EXPECT_NE(caller.Received().find("masticpin_requests_total{status=\"200\"} 1"),
            std::string::npos);
  EXPECT_NE(caller.Received().find("masticpin_executions_started 1"), std::string::npos);
}

}  // namespace
}  // namespace masticpin
