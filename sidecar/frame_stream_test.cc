#include "sidecar/frame_stream.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

class RecordingObserver : public FrameObserver {
 public:
  void OnFrame(wire::PeerFrame& frame) override { this->frames.push_back(frame); }
  void OnStreamClosed(std::string_view reason) override { this->closed = std::string(reason); }

  std::vector<wire::PeerFrame> frames;
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
