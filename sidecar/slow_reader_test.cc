#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "sidecar/tcp_address.h"
#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

/// Two bodies of this size do not fit in the memory together.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kBodyBytes = 20'000'000;

/// What the caller reads each 10 ms, ten times the rate below which it gives way.
constexpr std::size_t kReadBytes = 100'000;

/// Tests of callers that read a long response for some time while others need memory.
class SlowReaderTest : public SidecarNodeFixture {
 protected:
  SlowReaderTest() : reader(this->fleet.Loop()) {}

  /// Starts the machine and a caller that requests a response of kBodyBytes.
  void Start() {
    this->fleet.AddMachine("page", [](Connection& connection, const std::string& request) {
      const auto body = std::make_shared<const std::string>(
          request.starts_with("GET") ? std::string(kBodyBytes, 'y') : "small");
      connection.SendAsync(
          "HTTP/1.1 200 OK\r\nTest-Seal: seal\r\nTest-Id: " + FieldOf(request, "Test-Id") +
              "\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n",
          body);
    });
    this->fleet.AddRoute("read", "page", true).timeout = std::chrono::seconds(10);
    this->fleet.limits.max_body_bytes = std::size_t{64} << 20;
    this->fleet.At(0).settings.memory_mb = kMemoryMb;
    this->fleet.Start();
    this->fleet.RunFor(milliseconds(20));
    this->reader.connect(ToEndpoint(this->fleet.RequestAddress(0)));
    boost::asio::write(this->reader, boost::asio::buffer(TestFleet::MakeRequest("1", "read")));
    this->reader.non_blocking(true);
    // The response waits for its caller then.
    this->fleet.RunFor(milliseconds(300));
  }

  /// Reads once. Returns whether the connection is open.
  bool Read() {
    std::vector<char> buffer(kReadBytes);
    boost::system::error_code error;
    this->received += this->reader.read_some(boost::asio::buffer(buffer), error);
    this->fleet.RunFor(milliseconds(10));
    return !error || error == boost::asio::error::would_block;
  }

  /// Returns the status of an upload that needs the memory of the response.
  int StartUpload() {
    RawCaller upload(this->fleet.Loop(), this->fleet.RequestAddress(0));
    upload.Send("POST /read/1 HTTP/1.1\r\nHost: test.example\r\nTest-Id: u\r\nContent-Length: " +
                std::to_string(kBodyBytes) + "\r\n\r\n");
    this->fleet.RunFor(milliseconds(50));
    return upload.ResponseCount() == 0 ? 0 : StatusOf(upload.Received());
  }

  boost::asio::ip::tcp::socket reader;
  std::size_t received = 0;
};

// Guards against a response that is cut off because it takes long, although its caller reads it.
TEST_F(SlowReaderTest, CallerThatReadsKeepsItsResponse) {
  this->Start();
  while (this->received < kBodyBytes / 4) {
    ASSERT_TRUE(this->Read());
  }
  EXPECT_EQ(this->StartUpload(), 503);
  while (this->received < kBodyBytes) {
    ASSERT_TRUE(this->Read()) << this->received;
  }
}

// Guards against a caller that does not read and keeps the memory that others need.
TEST_F(SlowReaderTest, CallerThatDoesNotReadGivesWay) {
  this->Start();
  this->fleet.RunFor(milliseconds(2000));
  EXPECT_EQ(this->StartUpload(), 0);
  bool open = true;
  for (int i = 0; i < 1000 && open && this->received < kBodyBytes; ++i) {
    open = this->Read();
  }
  EXPECT_LT(this->received, kBodyBytes);
}

}  // namespace
}  // namespace masticpin
