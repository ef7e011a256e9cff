#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A response that goes on until the node closes the connection.
struct EndlessCase {
  const char* name;
  /// Sent once; "ID" stands for the id of the request.
  const char* start;
  /// Repeated without end.
  const char* block;
};

const EndlessCase kEndlessCases[] = {
    {"StatusLine", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx"},
    {"Header", "HTTP/1.1 200 OK\r\nTest-Id: ID\r\n", "X-Field: value\r\n"},
    {"HeaderLine", "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX-Field: ", "xxxxxxxxxxxxxxxx"},
    {"InterimResponses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
    {"ChunkExtension",
     "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4;e=",
     "xxxxxxxxxxxxxxxx"},
    {"TinyChunks",
     "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1;e=xxxxxxxx\r\nb\r\n"},
    {"Trailer",
     "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Trailer: x\r\n"},
    {"ChunkedBody",
     "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\nxxxxxxxxxxxxxxxx\r\n"},
    {"BodyWithoutLength", "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\n\r\n",
     "xxxxxxxxxxxxxxxx"},
    {"ResponsesToOtherRequests", "",
     "HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok"},
    {"NoHttp", "", "\x16\x03\x01\x02 no answer"},
};

std::string WithId(std::string text, const std::string& request) {
  const std::size_t at = text.find("ID");
  return at == std::string::npos ? text : text.replace(at, 2, FieldOf(request, "Test-Id"));
}

std::string Repeat(const std::string& block, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += block;
  }
  return text;
}

/// Resident memory of this process in bytes.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

class EndlessResponseTest : public SidecarNodeFixture,
                            public testing::WithParamInterface<EndlessCase> {
 protected:
  /// Adds a machine whose server responds without end in blocks of `block_bytes`, except to ids
  /// that begin with "good".
  void AddServer(std::size_t block_bytes) {
    this->fleet.AddMachine("page",
                           [block_bytes](Connection& connection, const std::string& request) {
                             if (FieldOf(request, "Test-Id").starts_with("good")) {
                               connection.Send(TestFleet::MakeResponse(request));
                               return;
                             }
                             connection.Send(WithId(GetParam().start, request));
                             connection.SendEndlessly(Repeat(GetParam().block, block_bytes));
                           });
  }

  std::size_t SentBytes() {
    std::size_t bytes = 0;
    for (const auto& connection : this->fleet.At(0).upstream->Connections()) {
      bytes += connection->EndlessBytes();
    }
    return bytes;
  }
};

// Guards against a server in trouble that sends bytes without end: they were read until the
// deadline and kept in memory, so that one server could end every process that called it.
TEST_P(EndlessResponseTest, IsCutOffAndReportedTruthfully) {
  constexpr std::size_t kMaxBytes = std::size_t{20} << 20;
  this->AddServer(std::size_t{64} << 10);
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  const TimePoint start = std::chrono::steady_clock::now();
  const std::string response = this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  EXPECT_EQ(StatusOf(response), 502) << response;
  EXPECT_EQ(FieldOf(response, "Test-Seal"), "");
  // Far below the deadline of 3 s, so that the bound is one of bytes.
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(2));
  const auto connection = this->fleet.At(0).upstream->Connections()[0];
  EXPECT_TRUE(this->fleet.RunUntil([&] { return connection->IsClosedByPeer(); }));
  EXPECT_LT(this->SentBytes(), kMaxBytes);
  EXPECT_EQ(this->RequestCount(0), 1U);
  // The node still serves, on a new connection.
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("good", "w", "POST", "", "x"))), 200);
}

// Guards against a slow endless response that keeps a connection and a slot beyond the deadline,
// and against parsing that takes longer with every byte received.
TEST_P(EndlessResponseTest, OneByteAtATimeEndsAtTheDeadline) {
  this->AddServer(1);
  this->fleet.AddRoute("w", "page", false).timeout = milliseconds(600);
  this->fleet.Start();
  const TimePoint start = std::chrono::steady_clock::now();
  const int status = StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x")));
  EXPECT_TRUE(status == 502 || status == 504) << status;
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(2));
  const auto connection = this->fleet.At(0).upstream->Connections()[0];
  EXPECT_TRUE(this->fleet.RunUntil([&] { return connection->IsClosedByPeer(); }));
}

// Guards against a total of many endless responses that exceeds the memory of a machine, although
// each of them is bounded, and against failing the server's small responses because of them.
TEST_P(EndlessResponseTest, TwoHundredAtOnceStayWithinTheMemoryBound) {
  constexpr int kCallers = 200;
  constexpr std::size_t kMemoryMb = 64;
  // The bodies of responses may take an eighth of the memory. The buffers of 200 sockets and the
  // growth of strings come on top, in the server of this process too.
  constexpr std::size_t kMaxGrowth = std::size_t{64} << 20;
  this->AddServer(std::size_t{64} << 10);
  this->fleet.At(0).settings.memory_mb = kMemoryMb;
  this->fleet.At(0).entry.slots = 2 * kCallers;
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  this->fleet.RunFor(milliseconds(20));
  const std::size_t before = ResidentBytes();
  std::size_t peak = before;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
    callers.back()->Send(TestFleet::MakeRequest(std::to_string(i), "w", "POST", "", "x"));
  }
  RawCaller good(this->fleet.Loop(), this->fleet.RequestAddress(0));
  good.Send(TestFleet::MakeRequest("good", "w", "POST", "", "x"));
  std::size_t done = 0;
  ASSERT_TRUE(this->fleet.RunUntil(
      [&] {
        peak = std::max(peak, ResidentBytes());
        while (done < callers.size() && callers[done]->ResponseCount() > 0) {
          ++done;
        }
        return done == callers.size() && good.ResponseCount() > 0;
      },
      seconds(20)));
  for (const auto& caller : callers) {
    const int status = StatusOf(caller->Received());
    EXPECT_TRUE(status == 502 || status == 504) << status;
  }
  EXPECT_EQ(StatusOf(good.Received()), 200);
  EXPECT_LT(peak - before, kMaxGrowth);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EndlessResponseTest,
                         testing::ValuesIn(kEndlessCases),
                         [](const auto& info) { return std::string(info.param.name); });

using ResponseBoundTest = SidecarNodeFixture;

// Guards against bytes after the announced end of a body: the response is complete, and whatever
// follows belongs to no request.
TEST_F(ResponseBoundTest, EndlessBytesAfterACompleteResponseCloseTheConnection) {
  this->fleet.AddMachine("page", [](Connection& connection, const std::string& request) {
    connection.Send(TestFleet::MakeResponse(request, "whole"));
    connection.SendEndlessly(std::string(65536, 'x'));
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  const std::string response = this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_EQ(response.substr(response.size() - 5), "whole");
  const auto connection = this->fleet.At(0).upstream->Connections()[0];
  EXPECT_TRUE(this->fleet.RunUntil([&] { return connection->IsClosedByPeer(); }));
  EXPECT_LT(connection->EndlessBytes(), std::size_t{8} << 20);
}

// Guards against a response header that ends the process: the announced length was reserved at
// once, and a length beyond the address space raised an exception that nothing caught.
TEST_F(ResponseBoundTest, HugeAnnouncedLengthIsRefused) {
  this->fleet.AddMachine("page", [](Connection& connection, const std::string& request) {
    connection.Send("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: " + FieldOf(request, "Test-Id") +
                    "\r\nContent-Length: 4611686018427387904\r\n\r\nx");
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"))), 502);
}

// Guards against a truncated response that looks complete: with an unknown transfer coding the end
// of the connection was taken for the end of the body.
TEST_F(ResponseBoundTest, AmbiguousResponseFramingIsNeverComplete) {
  std::string framing;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    const bool old_version = framing.starts_with("1.0 ");
    connection.Send((old_version ? "HTTP/1.0 200 OK\r\nTest-Seal: s\r\nTest-Id: "
                                 : "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: ") +
                    FieldOf(request, "Test-Id") + "\r\n" + framing.substr(old_version ? 4 : 0) +
                    "\r\n");
    connection.Close();
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  int id = 0;
  for (const char* text :
       {"Transfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n",
        "Transfer-Encoding: chunked, gzip\r\n\r\nok",
        "Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n",
        "1.0 Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "Content-Length: 2\r\nContent-Length: 4\r\n\r\nokok", "Content-Length: 5\r\n\r\nok",
        "Content-Length: 2x\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n5\r\nok\r\n0\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
    framing = text;
    const std::string response =
        this->SendRequest(TestFleet::MakeRequest(std::to_string(++id), "w", "POST", "", "x"));
    EXPECT_EQ(StatusOf(response), 502) << text;
  }
}

// Guards against a server that runs one idempotent request many times within one attempt of its
// caller: with one instance left, a broken response was followed by up to seven more sends.
TEST_F(ResponseBoundTest, BrokenResponsesAreSentNoMoreOftenThanTheRouteAllows) {
  this->fleet.AddMachine("page", [](Connection& connection, const std::string& request) {
    connection.Send(TestFleet::MakeResponse(request, "0123456789").substr(0, 60));
    connection.Close();
  });
  this->fleet.AddRoute("r", "page", true).attempts = 2;
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "r"))), 502);
  EXPECT_EQ(this->RequestCount(0), 2U);
}

// Guards against a second copy of a refusal that is taken for the response to the second send of
// the same request: the copy says "not run" while the server runs it, and a request that is not
// idempotent ran twice.
TEST_F(ResponseBoundTest, RepeatedRequestIsSentOnAnotherConnection) {
  int count = 0;
  int runs = 0;
  std::string refusal;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    if (++count == 1) {
      refusal = TestFleet::MakeResponse(request, "", "Test-Not-Executed: 1\r\n", "503 Full");
      connection.Send(refusal);
      return;
    }
    ++runs;
    // The copy arrives where the response to the second send is expected.
    this->fleet.At(0).upstream->Connections()[0]->Send(refusal);
    connection.Send(TestFleet::MakeResponse(request, "ran"));
  });
  this->fleet.AddRoute("w", "page", false).attempts = 1;
  this->fleet.Start();
  const std::string response = this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"));
  EXPECT_EQ(StatusOf(response), 200) << response;
  EXPECT_EQ(runs, 1);
}

// Guards against a late copy that arrives on an idle connection just before the next request is
// sent: the request must not go behind bytes that belong to no request.
TEST_F(ResponseBoundTest, ConnectionWithUnreadBytesIsNotReused) {
  bool first = true;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    connection.Send(TestFleet::MakeResponse(request));
    if (first) {
      first = false;
      connection.Send("\r\nHTTP/1.1 garbage");
    }
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"))), 200);
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("2", "w", "POST", "", "x"))), 200);
  EXPECT_EQ(this->fleet.At(0).upstream->Connections().size(), 2U);
}

}  // namespace
}  // namespace masticpin
