#include <gtest/gtest.h>
#include <malloc.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "net/system_clock.h"
#include "sidecar/http_client.h"
#include "sidecar/loop_timer_service.h"

namespace masticpin {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kConnections = 8;
constexpr std::size_t kBodyBytes = 4'000'000;

/// A connection of a server that discards what it reads, and responds after a body of kBodyBytes.
class DiscardingConnection : public std::enable_shared_from_this<DiscardingConnection> {
 public:
  explicit DiscardingConnection(tcp::socket socket) : socket(std::move(socket)) {}

  void Read() {
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [self = this->shared_from_this()](const boost::system::error_code& error,
                                          std::size_t bytes) {
          if (error) {
            return;
          }
          self->received += bytes;
          if (self->received >= kBodyBytes) {
            boost::system::error_code ignored;  // The test then gets no response.
            boost::asio::write(
                self->socket,
                boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                ignored);
          }
          self->Read();
        });
  }

 private:
  tcp::socket socket;
  std::size_t received = 0;
  std::array<char, 65536> buffer{};
};

class ResponseCounter : public HttpCallObserver {
 public:
  void OnResponse(HttpResponse) override { ++this->responses; }
  void OnCallFailed(ErrorKind, std::string_view reason) override { ADD_FAILURE() << reason; }

  std::size_t responses = 0;
};

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Guards against idle connections that keep the memory of the last request sent on them.
TEST(HttpClientMemoryTest, IdleConnectionsKeepNoLargeBuffer) {
  boost::asio::io_context loop;
  SystemClock clock;
  LoopTimerService timers(loop, clock);
  tcp::acceptor acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(loop, clock, timers, {"127.0.0.1", acceptor.local_endpoint().port()});
  for (std::size_t i = 0; i < kConnections; ++i) {
    acceptor.async_accept([](const boost::system::error_code& error, tcp::socket socket) {
      ASSERT_FALSE(error);
      std::make_shared<DiscardingConnection>(std::move(socket))->Read();
    });
  }
  const std::size_t before = AllocatedBytes();
  ResponseCounter counter;
  std::vector<Ref<HttpClientConnection>> connections;
  for (std::size_t i = 0; i < kConnections; ++i) {
    HttpCall call;
    call.message = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(kBodyBytes) +
                   "\r\n\r\n" + std::string(kBodyBytes, 'x');
    connections.push_back(client.Call(std::move(call), counter));
  }
  const TimePoint end = clock.Now() + std::chrono::seconds(10);
  while (counter.responses < kConnections && clock.Now() < end) {
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  ASSERT_EQ(counter.responses, kConnections);
  EXPECT_LT(AllocatedBytes() - before, kBodyBytes);
  client.CloseIdle();
  loop.restart();
  loop.run_for(std::chrono::milliseconds(50));
}

}  // namespace
}  // namespace masticpin
