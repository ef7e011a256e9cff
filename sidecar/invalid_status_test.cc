#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/system_clock.h"
#include "sidecar/http_exchange.h"
#include "sidecar/http_listener.h"
#include "sidecar/loop_timer_service.h"
#include "sidecar/testing/raw_caller.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

constexpr std::uint32_t kSeeds = 3;
constexpr int kStatusesPerSeed = 40;

/// Texts in place of a status that are none of three digits from 200 to 599. Interim statuses are
/// not among them: they precede the response.
const std::vector<std::string> kInvalidStatuses = {"000", "001", "042", "099", "600",  "700",
                                                   "999", "",    "0",   "20",  "2000", "0200",
                                                   "abc", "2x0", "-20", "+20", "2.0",  "20 0"};

class InvalidStatusTest : public SidecarNodeFixture {
 protected:
  void Start() {
    this->fleet.AddMachine("page", [this](Connection& connection, const std::string& request) {
      const bool first = ++this->runs == 1;
      const std::string text = first ? this->status : "200";
      connection.Send(TestFleet::MakeResponse(request, "body of the server", "", text + " Text"));
    });
    this->fleet.AddRoute("read", "page", true);
    this->fleet.AddRoute("write", "page", false);
    this->fleet.Start();
    this->fleet.RunFor(std::chrono::milliseconds(20));
  }

  /// Sends a request whose first run gets `text` as its status, and returns the response.
  std::string SendTo(const std::string& route, const std::string& text) {
    this->status = text;
    this->runs = 0;
    return this->SendRequest(
        TestFleet::MakeRequest("r" + std::to_string(++this->requests), route, "POST", "", "x"));
  }

  void ExpectBadGateway(const std::string& text) {
    const std::string response = this->SendTo("write", text);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << '"' << text << "\": " << response;
    EXPECT_EQ(response.find("body of the server"), std::string::npos) << text;
    EXPECT_EQ(this->runs, 1) << text;
  }

  std::string status;
  int runs = 0;
  int requests = 0;
};

// Guards against a status that is none and reaches the caller, who takes it for a response.
TEST_F(InvalidStatusTest, RequestThatMustNotRunTwiceGets502) {
  this->Start();
  for (const std::string& text : kInvalidStatuses) {
    this->ExpectBadGateway(text);
  }
  EXPECT_EQ(StatusOf(this->SendTo("write", "200")), 200);
}

// Guards against the same where the request may be sent again.
TEST_F(InvalidStatusTest, RequestThatMayRunTwiceIsRepeated) {
  this->Start();
  for (const std::string& text : {"000", "099", "600", "999"}) {
    EXPECT_EQ(StatusOf(this->SendTo("read", text)), 200) << text;
    EXPECT_EQ(this->runs, 2) << text;
  }
}

// Guards against statuses beside the ones above. 421 has a meaning of its own, and the statuses
// without a body are not sent with one.
TEST_F(InvalidStatusTest, SeededStatusesAreForwardedIfAndOnlyIfTheyAreFinal) {
  this->Start();
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    for (int i = 0; i < kStatusesPerSeed; ++i) {
      const unsigned number = static_cast<unsigned>(random() % 1000);
      const std::string text = std::to_string(1000 + number).substr(1);
      if (number / 100 == 1 || number == 204 || number == 304 || number == 421) {
        continue;
      }
      SCOPED_TRACE("seed " + std::to_string(seed) + " status " + text);
      if (number >= 200 && number <= 599) {
        EXPECT_TRUE(this->SendTo("write", text).starts_with("HTTP/1.1 " + text + " "));
      } else {
        this->ExpectBadGateway(text);
      }
    }
  }
}

/// Responds to every request with a given status.
class FixedStatusHandler : public HttpHandler {
 public:
  void OnRequest(Ref<HttpExchange> exchange) override {
    exchange->Respond(OutgoingResponse{this->status, "Text", "", "body"});
  }
  RequestLimits Limits() const override { return {}; }
  bool IsDraining() const override { return false; }

  int status = 200;
};

// Guards against a status line of the node's own that is none, whatever handler it comes from.
TEST(OwnStatusLineTest, InvalidStatusIsWrittenAs502) {
  boost::asio::io_context loop;
  SystemClock clock;
  LoopTimerService timers(loop, clock);
  MessageMemory memory{BodyMemoryPool({}), BodyMemory({}), BodyMemory({}), BodyMemory({}),
                       BodyMemory({})};
  FixedStatusHandler handler;
  HttpListener listener(loop, handler, memory, 10, clock, timers);
  const SocketAddress address{"127.0.0.1", 27299};
  ASSERT_EQ(listener.Listen(address), "");
  RawCaller caller(loop, address);
  int responses = 0;
  for (const int status : {-1, 0, 1, 42, 99, 100, 199, 600, 999, 1000, 200, 599}) {
    handler.status = status;
    const std::size_t before = caller.Received().size();
    caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ++responses;
    const TimePoint end = clock.Now() + std::chrono::seconds(5);
    while (caller.ResponseCount() < responses && clock.Now() < end) {
      loop.run_one_for(std::chrono::milliseconds(5));
    }
    const std::string expected = status == 200 || status == 599 ? std::to_string(status) : "502";
    EXPECT_EQ(caller.Received().substr(before, 13), "HTTP/1.1 " + expected + " ") << status;
  }
}

}  // namespace
}  // namespace masticpin
