#include "net/peer_transport.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <cstdlib>
#include <mutex>

namespace masticpin {
namespace {

/// Records what it receives. The wait timeout only ends a failing run.
class RecordingHandler : public PeerHandler {
 public:
  void OnEnvelope(const wire::Envelope& envelope) override {
    const std::lock_guard lock(this->mutex);
    this->pings.push_back(envelope.ping().id());
    this->changed.notify_all();
  }
  void OnSendFailed(const std::string&, const wire::Envelope&) override {
    const std::lock_guard lock(this->mutex);
    ++this->failed;
    this->changed.notify_all();
  }
  void OnMalformed(std::size_t) override {
    const std::lock_guard lock(this->mutex);
    ++this->malformed;
    this->changed.notify_all();
  }

  template <typename Predicate>
  bool WaitFor(Predicate predicate) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::seconds(20), predicate);
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::uint64_t> pings;
  int failed = 0;
  int malformed = 0;
};

/// A free loopback endpoint, chosen by the operating system.
std::string FreeEndpoint() {
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::router);
  socket.bind("tcp://127.0.0.1:*");
  return socket.get(zmq::sockopt::last_endpoint);
}

PeerTransportSettings Settings(const std::string& endpoint) {
  PeerTransportSettings settings;
  settings.bind_endpoint = endpoint;
  return settings;
}

wire::Envelope Ping(std::uint64_t id) {
  wire::Envelope envelope;
  envelope.mutable_ping()->set_id(id);
  return envelope;
}

// Guards against loss or reordering of messages between two running nodes.
TEST(PeerTransportTest, DeliversMessagesInOrder) {
  RecordingHandler handler_a;
  RecordingHandler handler_b;
  const std::string endpoint_b = FreeEndpoint();
  PeerTransport a(Settings(FreeEndpoint()), handler_a);
  PeerTransport b(Settings(endpoint_b), handler_b);

  for (std::uint64_t i = 0; i < 500; ++i) {
    a.Send(endpoint_b, Ping(i));
  }

  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.pings.size() == 500; }));
  for (std::uint64_t i = 0; i < 500; ++i) {
    EXPECT_EQ(handler_b.pings[i], i);
  }
}

// Guards against a malformed message that ends the process or blocks the messages behind it.
TEST(PeerTransportTest, MalformedMessageIsCountedAndSkipped) {
  RecordingHandler handler_a;
  RecordingHandler handler_b;
  const std::string endpoint_b = FreeEndpoint();
  PeerTransport b(Settings(endpoint_b), handler_b);
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.connect(endpoint_b);
  raw.send(zmq::str_buffer("\xff\xff\xff not protobuf"), zmq::send_flags::none);
  raw.send(zmq::str_buffer("part one"), zmq::send_flags::sndmore);
  raw.send(zmq::str_buffer("part two"), zmq::send_flags::none);
  PeerTransport a(Settings(FreeEndpoint()), handler_a);

  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.malformed == 2; }));
  a.Send(endpoint_b, Ping(7));
  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.pings.size() == 1; }));
  raw.set(zmq::sockopt::linger, 0);
}

// Guards against unbounded memory use for a peer that does not exist, and against silent loss: the
// sender must be notified that the message was not sent.
TEST(PeerTransportTest, SendQueueToMissingPeerIsBounded) {
  RecordingHandler handler;
  PeerTransportSettings settings = Settings(FreeEndpoint());
  settings.send_queue_messages = 10;
  PeerTransport transport(settings, handler);
  const std::string unreachable_endpoint = FreeEndpoint();

  for (std::uint64_t i = 0; i < 50; ++i) {
    transport.Send(unreachable_endpoint, Ping(i));
  }

  ASSERT_TRUE(handler.WaitFor([&] { return handler.failed >= 30; }));
}

// Guards against a permanent connection to every node of the fleet, and against a peer that cannot
// be reached after its connection was closed.
TEST(PeerTransportTest, IdleConnectionIsClosedAndOpenedAgain) {
  RecordingHandler handler_a;
  RecordingHandler handler_b;
  const std::string endpoint_b = FreeEndpoint();
  PeerTransportSettings settings = Settings(FreeEndpoint());
  settings.idle_timeout = std::chrono::milliseconds(500);
  PeerTransport a(settings, handler_a);
  PeerTransport b(Settings(endpoint_b), handler_b);

  a.Send(endpoint_b, Ping(1));
  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.pings.size() == 1; }));
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (a.Connections() != 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(a.Connections(), 0U);
  // Connecting takes a moment; the idle check must not drop a message that waits for the
  // connection.
  a.Send(endpoint_b, Ping(2));
  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.pings.size() == 2; }));
}

// Guards against an invalid endpoint from another process that ends this one: an instance list
// whose endpoints had no protocol prefix ended every node.
TEST(PeerTransportTest, InvalidEndpointOnlyFailsTheSend) {
  RecordingHandler handler;
  PeerTransport transport(Settings(FreeEndpoint()), handler);

  transport.Send("127.0.0.1:1", Ping(1));
  transport.Send("", Ping(2));

  EXPECT_TRUE(handler.WaitFor([&] { return handler.failed == 2; }));
}

// Guards against accepting messages from a node without the deployment's keys.
TEST(PeerTransportTest, PeerWithoutKeysIsRejected) {
  const auto [public_key, secret_key] = [] {
    char public_text[41];
    char secret_text[41];
    zmq_curve_keypair(public_text, secret_text);
    return std::pair<std::string, std::string>(public_text, secret_text);
  }();
  RecordingHandler handler_a;
  RecordingHandler handler_b;
  RecordingHandler handler_plain;
  const std::string endpoint_b = FreeEndpoint();
  PeerTransportSettings settings_a = Settings(FreeEndpoint());
  PeerTransportSettings settings_b = Settings(endpoint_b);
  for (PeerTransportSettings* settings : {&settings_a, &settings_b}) {
    settings->public_key = public_key;
    settings->secret_key = secret_key;
  }
  PeerTransport plain(Settings(FreeEndpoint()), handler_plain);
  PeerTransport b(settings_b, handler_b);
  plain.Send(endpoint_b, Ping(666));
  PeerTransport a(settings_a, handler_a);
  a.Send(endpoint_b, Ping(1));
  a.Send(endpoint_b, Ping(2));

  ASSERT_TRUE(handler_b.WaitFor([&] { return handler_b.pings.size() >= 2; }));
  EXPECT_EQ(handler_b.pings, (std::vector<std::uint64_t>{1, 2}));
}

}  // namespace
}  // namespace masticpin
