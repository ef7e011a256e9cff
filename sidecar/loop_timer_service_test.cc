#include "sidecar/loop_timer_service.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "net/system_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

/// More than the event loop handles in one pass.
constexpr int kSockets = 400;

struct ReceivingSocket {
  explicit ReceivingSocket(boost::asio::io_context& loop) : socket(loop), sender(loop) {}
  boost::asio::local::stream_protocol::socket socket;
  boost::asio::local::stream_protocol::socket sender;
  char byte = 0;
};

class CallOnTimer : public TimerSubscriber {
 public:
  explicit CallOnTimer(std::function<void()> callback) : callback(std::move(callback)) {}
  void OnTimer(TimePoint) override { this->callback(); }

 private:
  std::function<void()> callback;
};

// Guards against a timer that finds a peer silent, after the event loop was delayed, although what
// the peer has sent meanwhile only was not read yet.
TEST(LoopTimerServiceTest, DelayedTimerRunsAfterWhatHasArrivedIsRead) {
  boost::asio::io_context loop(1);
  const SystemClock clock;
  LoopTimerService timers(loop, clock);
  int received = 0;
  std::vector<std::unique_ptr<ReceivingSocket>> sockets;
  for (int i = 0; i < kSockets; ++i) {
    auto& added = *sockets.emplace_back(std::make_unique<ReceivingSocket>(loop));
    boost::asio::local::connect_pair(added.socket, added.sender);
    boost::asio::async_read(added.socket, boost::asio::buffer(&added.byte, 1),
                            [&](const boost::system::error_code&, std::size_t) { ++received; });
  }
  int received_at_timer = -1;
  CallOnTimer timer([&] { received_at_timer = received; });
  timers.Schedule(timer, clock.Now() + milliseconds(20));
  loop.run_for(milliseconds(1));
  ASSERT_EQ(received, 0);
  std::this_thread::sleep_for(milliseconds(100));
  for (const auto& each : sockets) {
    boost::asio::write(each->sender, boost::asio::buffer("x", 1));
  }
  std::this_thread::sleep_for(milliseconds(200));
  loop.restart();
  loop.run_for(milliseconds(100));
  EXPECT_EQ(received_at_timer, kSockets);
}

}  // namespace
}  // namespace masticpin
