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
  explicit RawUpstream(std::string bytes, bool keep_open = false)
      : bytes(std::move(bytes)), keep_open(keep_open) {
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
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
    for (const int connection : this->kept) {
      ::close(connection);
    }
  }

  int Port() const { return this->port; }
  int Connections() const { return this->connections; }

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
      if (this->keep_open) {
        this->kept.push_back(connection);
      } else {
        ::close(connection);
      }
    }
  }

  const std::string bytes;
  const bool keep_open;
  std::vector<int> kept;
  int listener = -1;
  int port = 0;
  std::atomic<int> connections = 0;
  std::atomic<int> last_connection = -1;
  std::thread thread;
};

/// Sends one request; returns the status, or the error kind as a negative number.
int SendOne(UpstreamClient& client, const Clock& clock, const std::string& context = "c") {
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
        BOOST_LEAF_AUTO(response, client.Send(request, /*idempotent=*/false,
                                              clock.Now() + std::chrono::seconds(10), call));
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
  RawUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", /*keep_open=*/true);
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
