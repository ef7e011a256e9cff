#include "standins/upstream_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

#include "masticpin/testing/seeded_random.h"
#include "masticpin/wire/http_headers.h"
#include "net/system_clock.h"
#include "net/system_random.h"
#include "standins/client_pool.h"
#include "standins/http_inner_caller.h"
#include "standins/naive_forwarder.h"

namespace masticpin::standins {
namespace {

/// Runs an HttpServer on a thread from construction to destruction.
class ServerThread {
 public:
  explicit ServerThread(HttpServer& server) : server(server), port(server.Bind("127.0.0.1:0")) {
    this->thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running()) {
      std::this_thread::yield();
    }
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;
  ~ServerThread() {
    this->server.Stop();
    this->thread.join();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

 private:
  HttpServer& server;
  const int port;
  std::thread thread;
};

class UpstreamServerTest : public testing::Test {
 protected:
  static UpstreamSettings MakeSettings() {
    const auto settings = UpstreamSettings::Parse(
        "[upstream]\nname=archive-1\nservice=archive\naddress=127.0.0.1:0\nslots=2\nqueue=2\n"
        "[kind receipt]\nservice_ms=1\nresponse_bytes=50\n");
    EXPECT_TRUE(settings);
    return *settings;
  }

  ClientPool::SendResult Send(const std::string& address,
                              const std::string& path,
                              const std::string& body = "",
                              const std::string& key = "key-1") {
    httplib::Request request;
    request.method = path.find("runs") == std::string::npos ? "POST" : "GET";
    request.path = path;
    request.body = body;
    request.set_header(kIdempotencyKeyHeader, key);
    request.set_header(kActionHeader, key);
    return this->clients.Send(address, request, std::chrono::seconds(30));
  }

  SystemClock clock;
  SystemRandom random;
  HttpInnerCaller inner_caller{"127.0.0.1:1"};
  Upstream upstream{MakeSettings(), clock, random, inner_caller};
  UpstreamServer server{upstream, random};
  ClientPool clients;
};

TEST_F(UpstreamServerTest, ServesAndCountsRuns) {
  const ServerThread serving(this->server.Http());
  const auto send_result = this->Send(serving.Address(), "/archive/receipt/a");
  ASSERT_TRUE(send_result.complete);
  EXPECT_EQ(send_result.response.status, 200);
  const auto body = nlohmann::json::parse(send_result.response.body);
  EXPECT_EQ(body["path"], "/archive/receipt/a");
  EXPECT_EQ(body["data"].get<std::string>().size(), 50U);
  const auto runs = this->Send(serving.Address(), "/_upstream/runs?action=key-1");
  EXPECT_EQ(nlohmann::json::parse(runs.response.body)["archive/receipt"]["runs"], 1);
}

// Guards against faulty responses that look complete, and against committed runs that are not
// counted because their response was faulty.
TEST_F(UpstreamServerTest, BrokenResponsesAreIncomplete) {
  const ServerThread serving(this->server.Http());
  int runs = 0;
  for (const char* fault : {"cut", "truncate"}) {
    const std::string control = std::string(R"({"fault":")") + fault + "\"}";
    ASSERT_EQ(this->Send(serving.Address(), "/_upstream/control", control).response.status, 200);
    EXPECT_FALSE(this->Send(serving.Address(), "/archive/receipt").complete) << fault;
    EXPECT_EQ(this->upstream.Runs().Find("key-1")["archive/receipt"].runs, ++runs);
  }
  EXPECT_EQ(this->Send(serving.Address(), "/_upstream/control", R"({"fault":"x"})").response.status,
            400);
}

// The naive forwarder retries a request whose response was lost, so it runs once for each try.
TEST_F(UpstreamServerTest, NaiveForwarderRunsRequestAgain) {
  const ServerThread serving(this->server.Http());
  const std::string control = R"({"fault":"cut"})";
  ASSERT_EQ(this->Send(serving.Address(), "/_upstream/control", control).response.status, 200);
  SystemRandom naive_random;
  NaiveForwarder forwarder({.name = "archive-1",
                            .service = "archive",
                            .http_address = "",
                            .upstream_address = serving.Address(),
                            .platform_address = ""},
                           naive_random);
  const ServerThread forwarding(forwarder.Http());
  const auto send_result = this->Send(forwarding.Address(), "/archive/receipt");
  ASSERT_TRUE(send_result.complete);
  EXPECT_EQ(send_result.response.status, 502);
  EXPECT_EQ(this->upstream.Runs().Find("key-1")["archive/receipt"].runs, 4U);
}

// Guards against reporting a refused connection as an unknown outcome: the request was never sent,
// so it did not run, and the caller can safely retry the call chain.
TEST_F(UpstreamServerTest, RefusedConnectionIsNotSent) {
  const auto send_result = this->Send("127.0.0.1:1", "/archive/receipt");
  EXPECT_FALSE(send_result.complete);
  EXPECT_TRUE(send_result.not_sent);
}

}  // namespace
}  // namespace masticpin::standins
