#include "sidecar/frame_stream.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <vector>

#include "masticpin/testing/seeded_random.h"
#include "sidecar/frame_size_limit.h"

namespace masticpin {
namespace {

class RecordingObserver : public FrameObserver {
 public:
  void OnFrame(wire::PeerFrame& frame) override { this->frames.push_back(frame); }
  void OnUnreadableFrame(const UnreadableFrame& frame) override {
    this->unreadable.push_back(frame);
  }
  void OnStreamClosed(std::string_view reason) override { this->closed = std::string(reason); }

  std::vector<wire::PeerFrame> frames;
  std::vector<UnreadableFrame> unreadable;
  std::string closed;
};

class FrameStreamTest : public testing::Test {
 protected:
  FrameStreamTest() : raw(this->loop) {
    boost::asio::ip::tcp::acceptor acceptor(this->loop,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    this->raw.connect(acceptor.local_endpoint());
    this->stream = Ref<FrameStream>(new FrameStream(acceptor.accept(), this->observer));
    this->stream->Start();
  }
  ~FrameStreamTest() override { this->stream->Close(); }

  void Write(const std::string& bytes) {
    boost::asio::write(this->raw, boost::asio::buffer(bytes));
    this->loop.restart();
    this->loop.run_for(std::chrono::milliseconds(20));
  }

  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket raw;
  RecordingObserver observer;
  Ref<FrameStream> stream;
};

/// Resident memory of this process in bytes.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

std::string EncodeFrame(std::uint64_t call, const std::string& body) {
  wire::PeerFrame frame;
  frame.mutable_request()->set_call(call);
  frame.mutable_request()->set_body(body);
  const std::string bytes = frame.SerializeAsString();
  std::string text;
  std::size_t length = bytes.size();
  while (length >= 128) {
    text.push_back(static_cast<char>(length % 128 + 128));
    length /= 128;
  }
  text.push_back(static_cast<char>(length));
  return text + bytes;
}

// Guards against frames that are lost or corrupted when the network splits or joins them.
TEST_F(FrameStreamTest, FramesAreReassembledFromAnySplit) {
  const std::string bytes = EncodeFrame(1, "a") + EncodeFrame(2, std::string(300, 'b')) +
                            EncodeFrame(3, std::string(40000, 'c'));
  SeededRandom random(5);
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const std::size_t size = std::min<std::size_t>(1 + random.NextBelow(7000), bytes.size() - sent);
    this->Write(bytes.substr(sent, size));
    sent += size;
  }
  ASSERT_EQ(this->observer.frames.size(), 3U);
  EXPECT_EQ(this->observer.frames[2].request().call(), 3U);
  EXPECT_EQ(this->observer.frames[2].request().body().size(), 40000U);
}

// Guards against a sender that makes the node allocate an arbitrary amount of memory by announcing
// a long frame.
TEST_F(FrameStreamTest, OversizedFrameClosesConnection) {
  this->Write("\xff\xff\xff\xff\x0f");
  EXPECT_EQ(this->observer.closed, "frame is too large");
}

TEST_F(FrameStreamTest, InvalidFramesCloseConnection) {
  this->Write(std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", 12));
  EXPECT_EQ(this->observer.closed, "frame has no valid length");
}

// Guards against an oversized frame that ends the connection, or is stored in memory, and against
// losing the frames around it.
TEST_F(FrameStreamTest, OversizedFrameIsSkippedWithoutStoringIt) {
  constexpr std::size_t kBodyBytes = std::size_t{64} << 20;
  constexpr std::size_t kMaxGrowth = std::size_t{8} << 20;
  constexpr std::size_t kPartBytes = std::size_t{256} << 10;
  const std::string bytes =
      EncodeFrame(1, "a") + EncodeFrame(2, std::string(kBodyBytes, 'b')) + EncodeFrame(3, "c");
  const std::size_t before = ResidentBytes();
  std::size_t peak = before;
  for (std::size_t sent = 0; sent < bytes.size(); sent += kPartBytes) {
    boost::asio::write(this->raw, boost::asio::buffer(bytes.substr(sent, kPartBytes)));
    this->loop.restart();
    this->loop.poll();
    peak = std::max(peak, ResidentBytes());
  }
  this->Write("");
  ASSERT_EQ(this->observer.frames.size(), 2U);
  EXPECT_EQ(this->observer.frames[1].request().call(), 3U);
  ASSERT_EQ(this->observer.unreadable.size(), 1U);
  EXPECT_EQ(this->observer.unreadable[0].reason, UnreadableFrame::Reason::kTooLarge);
  EXPECT_EQ(this->observer.unreadable[0].kind, wire::PeerFrame::kRequest);
  EXPECT_EQ(this->observer.unreadable[0].call, 2U);
  EXPECT_EQ(this->observer.closed, "");
  EXPECT_LT(peak - before, kMaxGrowth);
}

// Guards against an oversized frame whose end is found at the wrong byte when the network splits
// it.
TEST_F(FrameStreamTest, OversizedFrameIsSkippedAtAnySplit) {
  const std::string large = EncodeFrame(2, std::string(FrameSizeLimit::kDefaultBytes, 'b'));
  for (std::size_t split = 1; split < 50; ++split) {
    this->observer.frames.clear();
    this->observer.unreadable.clear();
    this->Write(large.substr(0, split));
    const std::size_t parts = std::size_t{1} << 20;
    for (std::size_t sent = split; sent < large.size(); sent += parts) {
      boost::asio::write(this->raw, boost::asio::buffer(large.substr(sent, parts)));
      this->loop.restart();
      this->loop.poll();
    }
    this->Write(EncodeFrame(split, "c"));
    ASSERT_EQ(this->observer.unreadable.size(), 1U) << split;
    ASSERT_EQ(this->observer.frames.size(), 1U) << split;
    ASSERT_EQ(this->observer.frames[0].request().call(), split);
  }
}

// Guards against an undecodable frame that ends the connection.
TEST_F(FrameStreamTest, UndecodableFrameIsDropped) {
  this->Write(std::string("\x06\x12\x04\x08\x07\x32\x7f", 7) + EncodeFrame(3, "c"));
  ASSERT_EQ(this->observer.unreadable.size(), 1U);
  EXPECT_EQ(this->observer.unreadable[0].reason, UnreadableFrame::Reason::kUndecodable);
  EXPECT_EQ(this->observer.unreadable[0].call, 7U);
  ASSERT_EQ(this->observer.frames.size(), 1U);
  EXPECT_EQ(this->observer.closed, "");
}

// Guards against a decoder that crashes or hangs on arbitrary bytes.
TEST_F(FrameStreamTest, RandomBytesAreRejectedOrIgnored) {
  SeededRandom random(6);
  for (int round = 0; round < 50 && this->observer.closed.empty(); ++round) {
    std::string bytes;
    for (int i = 0; i < 200; ++i) {
      bytes.push_back(static_cast<char>(random.Next()));
    }
    this->Write(bytes);
  }
  SUCCEED();
}

}  // namespace
}  // namespace masticpin
