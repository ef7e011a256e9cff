#include "net/upstream_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "masticpin/error/error_info.h"
#include "masticpin/wire/http_headers.h"
#include "net/system_clock.h"

namespace masticpin {
namespace {

/// An upstream that responds to the first request of each connection with fixed bytes and then
/// closes the connection, or keeps it open without sending anything.
class RawUpstream {
 public:
  explicit RawUpstream(std::string bytes, bool keep_open = false, std::string endless = "")
      : bytes(std::move(bytes)), endless(std::move(endless)), keep_open(keep_open) {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    (void)::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(this->listener, 16);
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~RawUpstream() {
    this->stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
    for (const int connection : this->kept) {
      ::close(connection);
    }
  }

  int Port() const { return this->port; }
  int Connections() const { return this->connections; }
  /// Number of bytes sent of the endless part of the response.
  std::size_t EndlessBytes() const { return this->endless_bytes; }

  /// Sends the fixed bytes on the last connection. On loopback they have arrived when this returns.
  void SendBytes() {
    (void)::send(this->last_connection, this->bytes.data(), this->bytes.size(), MSG_NOSIGNAL);
  }

 private:
  void Run() {
    for (;;) {
      const int connection = ::accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      ++this->connections;
      char buffer[4096];
      (void)::recv(connection, buffer, sizeof(buffer), 0);
      this->last_connection = connection;
      this->SendBytes();
      this->SendEndlessly(connection);
      if (this->keep_open) {
        this->kept.push_back(connection);
      } else {
        ::close(connection);
      }
    }
  }

  /// Repeats the endless part until the client closes the connection or the test ends.
  void SendEndlessly(int connection) {
    while (!this->endless.empty() && !this->stopping) {
      const ssize_t sent =
          ::send(connection, this->endless.data(), this->endless.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        return;
      }
      this->endless_bytes += static_cast<std::size_t>(sent);
    }
  }

  const std::string bytes;
  const std::string endless;
  const bool keep_open;
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> endless_bytes = 0;
  std::vector<int> kept;
  int listener = -1;
  int port = 0;
  std::atomic<int> connections = 0;
  std::atomic<int> last_connection = -1;
  std::thread thread;
};

/// Sends one request; returns the status, or the error kind as a negative number.
int SendOne(UpstreamClient& client,
            const Clock& clock,
            const std::string& context = "c",
            Duration time = std::chrono::seconds(10)) {
  wire::HttpRequest request;
  request.set_method("POST");
  request.set_target("/ballot/vote");
  request.set_body("yes");
  wire::Header* header = request.add_headers();
  header->set_name(kContextHeader);
  header->set_value(context);
  UpstreamCall call;
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(response,
                        client.Send(request, /*idempotent=*/false, clock.Now() + time, call));
        return static_cast<int>(response.status());
      },
      [](ErrorKind kind) { return -static_cast<int>(kind); }, [] { return -1000; });
}

struct Case {
  const char* name;
  const char* bytes;
  ErrorKind expected;
};

class IncompleteResponseTest : public testing::TestWithParam<Case> {};

// Guards against a truncated response, or one without a length, that is forwarded as complete, and
// against reporting "not run" for a request that the upstream has received.
TEST_P(IncompleteResponseTest, IsNeverComplete) {
  const SystemClock clock;
  RawUpstream upstream(GetParam().bytes);
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);
  client.SetShedStatus(503);

  EXPECT_EQ(SendOne(client, clock), -static_cast<int>(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    IncompleteResponseTest,
    testing::Values(
        Case{"Empty", "", ErrorKind::kUpstreamBroken},
        Case{"TruncatedHeader", "HTTP/1.1 200 OK\r\nContent-Le", ErrorKind::kUpstreamBroken},
        Case{"TruncatedBody", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
             ErrorKind::kUpstreamBroken},
        Case{"TruncatedChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
             ErrorKind::kUpstreamBroken},
        Case{"NoLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
             ErrorKind::kUpstreamBroken},
        Case{"NoLength", "HTTP/1.1 200 OK\r\n\r\n12345", ErrorKind::kUpstreamBroken},
        Case{"NotHttp", "not http at all\r\n\r\n", ErrorKind::kUpstreamBroken},
        Case{"ReportsUnknown",
             "HTTP/1.1 500 E\r\nMasticpin-Outcome: unknown\r\nContent-Length: 0\r\n\r\n",
             ErrorKind::kUpstreamBroken},
        Case{"Shed", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", ErrorKind::kUpstreamShed},
        Case{"ReportsNotRun",
             "HTTP/1.1 409 No\r\nMasticpin-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
             ErrorKind::kUpstreamShed}),
    [](const testing::TestParamInfo<Case>& param) { return std::string(param.param.name); });

// Guards against reusing a connection after an incomplete response: bytes that still arrive on it
// would be taken for the response to another request.
TEST(UpstreamClientTest, ConnectionIsNotReusedAfterIncompleteResponse) {
  const SystemClock clock;
  RawUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);

  SendOne(client, clock);
  SendOne(client, clock);

  EXPECT_EQ(upstream.Connections(), 2);
}

// Guards against a response sent twice: the second copy must not be taken for the response to the
// next request.
TEST(UpstreamClientTest, ConnectionWithPendingBytesIsNotReused) {
  const SystemClock clock;
  RawUpstream upstream("HTTP/1.1 200 OK\r\nMasticpin-Context: c\r\nContent-Length: 2\r\n\r\nok",
                       /*keep_open=*/true);
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);

  EXPECT_EQ(SendOne(client, clock), 200);
  upstream.SendBytes();
  EXPECT_EQ(SendOne(client, clock), 200);

  EXPECT_EQ(upstream.Connections(), 2);
}

// Guards against accepting the response to another request that arrives after this one was sent.
TEST(UpstreamClientTest, ResponseWithOtherContextIsBroken) {
  const SystemClock clock;
  RawUpstream upstream(
      "HTTP/1.1 200 OK\r\nMasticpin-Context: other\r\nContent-Length: 2\r\n\r\nok");
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);

  EXPECT_EQ(SendOne(client, clock, "mine"), -static_cast<int>(ErrorKind::kUpstreamBroken));
}

struct EndlessCase {
  const char* name;
  const char* start;
  const char* block;
};

class EndlessUpstreamTest : public testing::TestWithParam<EndlessCase> {};

// Guards against an upstream that sends bytes without end: header lines and interim responses were
// read for as long as they came, also beyond the deadline, and a status line of some 100 KB ended
// the process.
TEST_P(EndlessUpstreamTest, IsCutOffAndMayHaveRun) {
  std::string block;
  while (block.size() < 65536) {
    block += GetParam().block;
  }
  const SystemClock clock;
  RawUpstream upstream(GetParam().start, /*keep_open=*/true, block);
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);
  const TimePoint start = clock.Now();
  EXPECT_EQ(SendOne(client, clock), -static_cast<int>(ErrorKind::kUpstreamBroken));
  // Far below the deadline of 10 s.
  EXPECT_LT(clock.Now() - start, std::chrono::seconds(3));
  EXPECT_LT(upstream.EndlessBytes(), std::size_t{16} << 20);
}

// Guards against an endless response that arrives slowly and holds a worker beyond the deadline:
// the time limit was one for each read.
TEST_P(EndlessUpstreamTest, SlowBytesEndAtTheDeadline) {
  const SystemClock clock;
  RawUpstream upstream(GetParam().start, /*keep_open=*/true, "");
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = upstream.Port();
  UpstreamClient client(settings, clock);
  const TimePoint start = clock.Now();
  std::atomic<bool> ended = false;
  std::thread drip([&] {
    while (!ended) {
      upstream.SendBytes();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  const int result = SendOne(client, clock, "c", std::chrono::milliseconds(400));
  ended = true;
  drip.join();
  EXPECT_TRUE(result == -static_cast<int>(ErrorKind::kDeadlineExceeded) ||
              result == -static_cast<int>(ErrorKind::kUpstreamBroken))
      << result;
  EXPECT_LT(clock.Now() - start, std::chrono::seconds(2));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessUpstreamTest,
    testing::Values(
        EndlessCase{"StatusLine", "HTTP/1.1 200 ", "xxxx"},
        EndlessCase{"Header", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        EndlessCase{"HeaderLine", "HTTP/1.1 200 OK\r\nX-Field: ", "xxxx"},
        EndlessCase{"InterimResponses", "HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"ChunkExtension",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;e=", "xxxx"},
        EndlessCase{"Trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X-Trailer: x\r\n"},
        EndlessCase{"ChunkedBody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "4\r\nxxxx\r\n"},
        EndlessCase{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "xxxx"}),
    [](const testing::TestParamInfo<EndlessCase>& param) { return std::string(param.param.name); });

// Guards against a late second copy of a response that does not say to which request it belongs, on
// a connection that is in use again: the next caller got it for its own.
TEST(UpstreamClientTest, ConnectionIsReusedOnlyIfResponsesNameTheirRequest) {
  const SystemClock clock;
  for (const bool echoed : {false, true}) {
    RawUpstream upstream(std::string("HTTP/1.1 200 OK\r\n") +
                             (echoed ? "Masticpin-Context: c\r\n" : "") +
                             "Content-Length: 2\r\n\r\nok",
                         /*keep_open=*/true);
    UpstreamClientSettings settings;
    settings.host = "127.0.0.1";
    settings.port = upstream.Port();
    UpstreamClient client(settings, clock);
    EXPECT_EQ(SendOne(client, clock, "c"), 200);
    // The upstream responds to the first request of a connection only, so a second request with
    // another context gets no response on it.
    const int second = SendOne(client, clock, "d", std::chrono::milliseconds(300));
    if (echoed) {
      EXPECT_EQ(second, -static_cast<int>(ErrorKind::kDeadlineExceeded));
      EXPECT_EQ(upstream.Connections(), 1);
    } else {
      EXPECT_EQ(second, 200);
      EXPECT_EQ(upstream.Connections(), 2);
    }
  }
}

// Guards against reporting an unknown outcome for a request that certainly did not run.
TEST(UpstreamClientTest, RefusedConnectionIsNotRun) {
  const SystemClock clock;
  int closed_port = 0;
  {
    const RawUpstream upstream("");
    closed_port = upstream.Port();
  }
  UpstreamClientSettings settings;
  settings.host = "127.0.0.1";
  settings.port = closed_port;
  UpstreamClient client(settings, clock);

  const int result = SendOne(client, clock);

  EXPECT_EQ(result, -static_cast<int>(ErrorKind::kUpstreamUnreachable));
  EXPECT_TRUE(IsNotRun(ErrorKind::kUpstreamUnreachable));
}

}  // namespace
}  // namespace masticpin
