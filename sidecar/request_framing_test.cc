#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <functional>
#include <string>

#include "masticpin/testing/seeded_random.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request that must be rejected before anything runs, as the last one of its connection.
struct RejectedCase {
  const char* name;
  /// Request line, if not that of the default request.
  const char* request_line;
  const char* fields;
  const char* body;
  int status;
};

constexpr const char* kPost = "POST /r/1 HTTP/1.1\r\n";
constexpr const char* kHost = "Host: test.example\r\n";

const RejectedCase kRejectedCases[] = {
    {"ChunkedTwice", kPost, "Host: test.example\r\nTransfer-Encoding: chunked, chunked\r\n",
     "0\r\n\r\n", 501},
    {"ChunkedInTwoFields", kPost,
     "Host: test.example\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     "0\r\n\r\n", 400},
    {"UnknownCoding", kPost, "Host: test.example\r\nTransfer-Encoding: xchunked\r\n", "", 501},
    {"GzipThenChunked", kPost, "Host: test.example\r\nTransfer-Encoding: gzip, chunked\r\n",
     "0\r\n\r\n", 501},
    {"ChunkedThenGzip", kPost, "Host: test.example\r\nTransfer-Encoding: chunked, gzip\r\n",
     "0\r\n\r\n", 501},
    {"Identity", kPost, "Host: test.example\r\nTransfer-Encoding: identity\r\n", "", 501},
    {"EmptyCoding", kPost, "Host: test.example\r\nTransfer-Encoding:\r\n", "", 501},
    {"ChunkedWithParameter", kPost, "Host: test.example\r\nTransfer-Encoding: chunked;q=1\r\n",
     "0\r\n\r\n", 501},
    {"CodingUnderHttp10", "POST /r/1 HTTP/1.0\r\n",
     "Host: test.example\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 400},
    {"LengthAndCoding", kPost,
     "Host: test.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 400},
    {"TwoLengths", kPost, "Host: test.example\r\nContent-Length: 3\r\nContent-Length: 5\r\n",
     "abcde", 400},
    {"SameLengthTwice", kPost, "Host: test.example\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
     "abc", 400},
    {"LengthList", kPost, "Host: test.example\r\nContent-Length: 3, 3\r\n", "abc", 400},
    {"SignedLength", kPost, "Host: test.example\r\nContent-Length: +3\r\n", "abc", 400},
    {"NegativeLength", kPost, "Host: test.example\r\nContent-Length: -3\r\n", "abc", 400},
    {"HexLength", kPost, "Host: test.example\r\nContent-Length: 0x3\r\n", "abc", 400},
    {"LengthOverflow", kPost, "Host: test.example\r\nContent-Length: 99999999999999999999\r\n",
     "abc", 400},
    {"SpaceBeforeColon", kPost, "Host: test.example\r\nContent-Length : 3\r\n", "abc", 400},
    {"SpaceBeforeFirstField", kPost, " Host: test.example\r\n", "", 400},
    {"NoHost", kPost, "", "", 400},
    {"TwoHosts", kPost, "Host: test.example\r\nHost: other.example\r\n", "", 400},
    {"SameHostTwice", kPost, "Host: test.example\r\nHost: test.example\r\n", "", 400},
    {"HostWithSlash", kPost, "Host: test.example/r\r\n", "", 400},
    {"HostWithSpace", kPost, "Host: test.example other\r\n", "", 400},
    {"BareLineFeed", "POST /r/1 HTTP/1.1\n", "Host: test.example\n", "", 400},
    {"BareCarriageReturnInField", kPost, "Host: test.example\r\nX-Field: a\rb\r\n", "", 400},
    {"NulInField", kPost,
     "Host: test.example\r\nX-Field: a\x01"
     "b\r\n",
     "", 400},
    {"FieldNameWithSpace", kPost, "Host: test.example\r\nX Field: a\r\n", "", 400},
    {"EmptyFieldName", kPost, "Host: test.example\r\n: a\r\n", "", 400},
    {"TwoSpacesInRequestLine", "POST  /r/1 HTTP/1.1\r\n", kHost, "", 400},
    {"SpaceInTarget", "POST /r/1 2 HTTP/1.1\r\n", kHost, "", 400},
    {"UnknownVersion", "POST /r/1 HTTP/3.1\r\n", kHost, "", 400},
    {"NoVersion", "POST /r/1\r\n", kHost, "", 400},
    {"BadChunkSize", kPost, "Host: test.example\r\nTransfer-Encoding: chunked\r\n", "zz\r\nabc\r\n",
     400},
    {"SignedChunkSize", kPost, "Host: test.example\r\nTransfer-Encoding: chunked\r\n",
     "+3\r\nabc\r\n0\r\n\r\n", 400},
    {"ChunkSizeOverflow", kPost, "Host: test.example\r\nTransfer-Encoding: chunked\r\n",
     "fffffffffffffffff\r\nabc\r\n", 400},
    {"ChunkLongerThanItsSize", kPost, "Host: test.example\r\nTransfer-Encoding: chunked\r\n",
     "2\r\nabc\r\n0\r\n\r\n", 400},
    {"BareLineFeedInChunk", kPost, "Host: test.example\r\nTransfer-Encoding: chunked\r\n",
     "3\nabc\n0\n\n", 400},
};

class RejectedRequestTest : public SidecarNodeFixture,
                            public testing::WithParamInterface<RejectedCase> {};

// Guards against request smuggling: another implementation that reads the request differently would
// not agree about where it ends. `Transfer-Encoding: chunked, chunked` and `xchunked` ran the
// request with an empty body and took its body for the next request.
TEST_P(RejectedRequestTest, IsRejectedBeforeAnythingRuns) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(std::string(GetParam().request_line) + "Test-Id: a\r\n" + GetParam().fields + "\r\n" +
              GetParam().body + TestFleet::MakeRequest("smuggled", "r"));
  EXPECT_TRUE(this->fleet.RunUntil([&] { return caller.IsClosedByPeer(); }));
  EXPECT_EQ(StatusOf(caller.Received()), GetParam().status) << caller.Received();
  EXPECT_EQ(caller.ResponseCount(), 1);
  this->fleet.RunFor(milliseconds(20));
  EXPECT_EQ(this->RequestCount(0), 0U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RejectedRequestTest,
                         testing::ValuesIn(kRejectedCases),
                         [](const auto& info) { return std::string(info.param.name); });

using RequestFramingTest = SidecarNodeFixture;

// Guards against refusing requests that are valid although they are unusual.
TEST_F(RequestFramingTest, UnusualButValidRequestsAreServed) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  for (const std::string& request :
       {std::string("POST /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: a\r\n"
                    "transfer-encoding: ChUnKeD\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nX: t\r\n\r\n"),
        std::string("\r\nGET /r/1 HTTP/1.1\r\nhost:test.example\r\nTest-Id: b\r\n\r\n"),
        std::string("GET /r/1 HTTP/1.0\r\nHost: test.example\r\nTest-Id: c\r\n\r\n"),
        std::string("GET /r/1 HTTP/1.1\r\nHost: \t test.example \t\r\nTest-Id: d\r\n\r\n"),
        std::string("POST /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: e\r\n"
                    "Content-Length: 0003\r\n\r\nabc")}) {
    EXPECT_EQ(StatusOf(this->SendRequest(request)), 200) << request;
  }
  EXPECT_EQ(this->RequestCount(0), 5U);
}

// Guards against a target in absolute form that is refused, or routed by the Host field although
// the target names the host.
TEST_F(RequestFramingTest, AbsoluteTargetNamesTheHost) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  const std::string response = this->SendRequest(
      "GET http://test.example/r/1?q=1 HTTP/1.1\r\nHost: other.example\r\nTest-Id: a\r\n\r\n");
  EXPECT_EQ(StatusOf(response), 200);
  ASSERT_EQ(this->RequestCount(0), 1U);
  const std::string& request = this->fleet.At(0).upstream->Requests()[0];
  EXPECT_EQ(request.substr(0, request.find("\r\n")), "GET /r/1?q=1 HTTP/1.1");
  EXPECT_EQ(FieldOf(request, "Host"), "test.example");
  EXPECT_EQ(StatusOf(this->SendRequest("GET http:///r/1 HTTP/1.1\r\nHost: test.example\r\n"
                                       "Test-Id: b\r\n\r\n")),
            404);
}

// Guards against callers that send a chunk's line or trailer fields without end: they were kept in
// memory until the header timeout.
TEST_F(RequestFramingTest, EndlessChunkLineOrTrailerIsRejected) {
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  for (const std::string& start : {std::string("3;x="), std::string("3\r\nabc\r\n0\r\nX: ")}) {
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    caller.Send(
        "POST /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        start);
    std::size_t sent = 0;
    constexpr std::size_t kMaxBytes = std::size_t{1} << 20;
    while (caller.ResponseCount() == 0 && !caller.IsClosedByPeer() && sent < kMaxBytes) {
      caller.Send(std::string(4096, 'x'));
      sent += 4096;
      this->fleet.RunFor(milliseconds(1));
    }
    EXPECT_LT(sent, kMaxBytes) << start;
    EXPECT_EQ(StatusOf(caller.Received()), 400) << start;
  }
  EXPECT_EQ(this->RequestCount(0), 0U);
}

/// Callers and servers that send valid messages with one byte changed, or cut anywhere.
class FramingFuzz : public SidecarNodeFixture {
 protected:
  void SetUp() override {
    this->fleet.AddMachine("page", [this](Connection& connection, const std::string& request) {
      connection.Send(this->respond(request));
      if (this->close_after_response) {
        connection.Close();
      }
    });
    this->fleet.AddRoute("r", "page", true).attempts = 1;
    this->fleet.AddRoute("w", "page", false);
    this->fleet.Start();
  }

  /// Changes, removes, inserts or repeats one byte.
  std::string Mutate(std::string text) {
    static const std::string kBytes = "\r\n\t :;,0159afxHTP/.\x01\x7f\xff";
    const std::size_t at = this->random.NextBelow(text.size());
    const char byte = kBytes[this->random.NextBelow(kBytes.size())];
    switch (this->random.NextBelow(4)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.erase(at, 1);
        break;
      case 2:
        text.insert(at, 1, byte);
        break;
      default:
        text.insert(at, 1, text[at]);
        break;
    }
    return text;
  }

  SeededRandom random{20261204};
  std::function<std::string(const std::string&)> respond = [](const std::string& request) {
    return TestFleet::MakeResponse(request);
  };
  bool close_after_response = false;
};

// Guards against framing that a changed byte turns into requests that nobody sent: the request in
// the chunk never runs, and there is one response to each request that does.
TEST_F(FramingFuzz, ChangedRequestsRunNothingThatWasNotSent) {
  constexpr int kRounds = 1000;
  const std::string inner = "GET /r/inner HTTP/1.1\r\nHost: test.example\r\nTest-Id: x\r\n\r\n";
  const std::string chunked =
      "POST /r/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: one\r\nTransfer-Encoding: chunked"
      "\r\n\r\n4\r\nPOST\r\n" +
      fmt::format("{:x};a=b\r\n", inner.size()) + inner + "\r\n0\r\nX-Trailer: y\r\n\r\n";
  const std::size_t inner_at = chunked.find(inner);
  for (int round = 0; round < kRounds; ++round) {
    // The bytes of the inner request stay, so that it would run if it were taken for a request.
    const std::string before_inner = chunked.substr(0, inner_at);
    const std::string after_inner = chunked.substr(inner_at + inner.size());
    std::string text = round % 2 == 0 ? this->Mutate(before_inner) + inner + after_inner
                                      : before_inner + inner + this->Mutate(after_inner);
    if (round % 5 == 0) {
      text.resize(this->random.NextBelow(text.size()));
    }
    const std::size_t before = this->RequestCount(0);
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    caller.Send(text);
    if (round % 5 != 0) {
      caller.Send(TestFleet::MakeRequest("two", "r"));
    }
    this->fleet.RunUntil([&] { return caller.ResponseCount() >= 2 || caller.IsClosedByPeer(); },
                         milliseconds(10));
    const auto& requests = this->fleet.At(0).upstream->Requests();
    for (std::size_t i = before; i < requests.size(); ++i) {
      EXPECT_FALSE(requests[i].starts_with("GET /r/inner")) << text;
    }
    EXPECT_LE(requests.size() - before, 2U) << text;
    EXPECT_LE(caller.ResponseCount(), 2) << text;
  }
}

// Guards against a truncated response that reaches the caller as a complete success.
TEST_F(FramingFuzz, TruncatedResponsesAreNeverComplete) {
  constexpr int kRounds = 400;
  this->close_after_response = true;
  for (int round = 0; round < kRounds; ++round) {
    const bool chunked = round % 2 == 0;
    std::string whole;
    this->respond = [&](const std::string& request) {
      const std::string id = FieldOf(request, "Test-Id");
      whole = chunked ? "HTTP/1.1 200 OK\r\nTest-Id: " + id +
                            "\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
                      : TestFleet::MakeResponse(request, "0123456789");
      return whole.substr(0, this->random.NextBelow(whole.size()));
    };
    const std::string response = this->SendRequest(
        TestFleet::MakeRequest(std::to_string(round), "w", "POST", "", "x"), seconds(1));
    EXPECT_EQ(StatusOf(response), 502) << response;
  }
}

// Guards against a connection that stays open and keeps the limits of the configuration that was in
// force when its last request ended.
TEST_F(RequestFramingTest, OpenConnectionAppliesTheLimitsInForce) {
  const std::string body(7200, 'b');
  this->fleet.AddMachine("page", RespondToAll);
  this->fleet.AddRoute("w", "page", false);
  this->fleet.limits.max_body_bytes = 4096;
  this->fleet.Start();
  RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
  caller.Send(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 1; }));
  this->fleet.limits.max_body_bytes = 8192;
  this->fleet.PublishConfiguration();
  caller.Send(TestFleet::MakeRequest("2", "w", "POST", "", body));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 2; }));
  EXPECT_EQ(StatusOf(caller.Received().substr(caller.Received().rfind("HTTP/1.1"))), 200);
  this->fleet.limits.max_body_bytes = 4096;
  this->fleet.PublishConfiguration();
  caller.Send(TestFleet::MakeRequest("3", "w", "POST", "", body));
  ASSERT_TRUE(this->fleet.RunUntil([&] { return caller.ResponseCount() == 3; }));
  EXPECT_EQ(StatusOf(caller.Received().substr(caller.Received().rfind("HTTP/1.1"))), 413);
}

}  // namespace
}  // namespace masticpin
