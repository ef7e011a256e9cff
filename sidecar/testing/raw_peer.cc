#include "sidecar/testing/raw_peer.h"

#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>

#include "sidecar/frame_size_limit.h"
#include "sidecar/peer_protocol.h"
#include "sidecar/tcp_address.h"

namespace masticpin {

RawPeer::RawPeer(boost::asio::io_context& loop,
                 const SocketAddress& address,
                 const std::string& service,
                 const std::string& caller_service,
                 Reading reading) {
  constexpr int kSmallBufferBytes = 4096;
  boost::asio::ip::tcp::socket socket(loop, boost::asio::ip::tcp::v4());
  if (reading == Reading::kNever) {
    socket.set_option(boost::asio::socket_base::receive_buffer_size(kSmallBufferBytes));
  }
  socket.connect(ToEndpoint(address));
  this->descriptor = socket.native_handle();
  this->stream = Ref<FrameStream>(new FrameStream(std::move(socket), *this));
  wire::PeerFrame hello;
  hello.mutable_hello()->set_protocol(kPeerProtocolVersion);
  hello.mutable_hello()->set_service(service);
  hello.mutable_hello()->set_caller_service(caller_service);
  hello.mutable_hello()->set_answers_receiver(true);
  this->stream->Send(hello);
  if (reading == Reading::kAlways) {
    this->stream->Start();
  }
}

RawPeer::RawPeer(boost::asio::ip::tcp::socket socket) : descriptor(socket.native_handle()) {
  this->stream = Ref<FrameStream>(new FrameStream(std::move(socket), *this));
  this->stream->Start();
}

void RawPeer::CutOff() {
  // A socket filter that accepts 0 bytes of each packet drops it before TCP sees it.
  sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop};
  ASSERT_EQ(setsockopt(this->descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)),
            0);
}

void RawPeer::Restore() {
  const int unused = 0;
  ASSERT_EQ(setsockopt(this->descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)), 0);
}

void RawPeer::Send(const std::vector<wire::PeerFrame>& frames) {
  for (const wire::PeerFrame& frame : frames) {
    this->stream->Send(frame);
  }
}

wire::PeerFrame RawPeer::MakeRequest(std::uint64_t call,
                                     const std::string& id,
                                     bool idempotent,
                                     Duration age) {
  wire::PeerFrame frame;
  wire::ExecutionRequest& request = *frame.mutable_request();
  request.set_call(call);
  request.set_request_id(id);
  request.set_method(idempotent ? "GET" : "POST");
  request.set_target("/r/1");
  request.set_header_lines("Host: test.example\r\n");
  request.set_remaining_us(3'000'000);
  request.set_idempotent(idempotent);
  request.set_sender_clock_us(ToClockMicroseconds(std::chrono::steady_clock::now() - age));
  return frame;
}

wire::PeerFrame RawPeer::MakeCancel(std::uint64_t call) {
  wire::PeerFrame frame;
  frame.mutable_cancel()->set_call(call);
  return frame;
}

wire::PeerFrame RawPeer::MakeHello(bool accepts_body_parts) {
  wire::PeerFrame frame;
  frame.mutable_hello()->set_protocol(kPeerProtocolVersion);
  FrameSizeLimit::Announce(*frame.mutable_hello());
  frame.mutable_hello()->set_accepts_body_parts(accepts_body_parts);
  return frame;
}

std::string RawPeer::Encode(const wire::PeerFrame& frame) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::util::SerializeDelimitedToZeroCopyStream(frame, &stream);
  return bytes;
}

wire::PeerFrame RawPeer::MakeConfirmation(std::uint64_t call, Duration remaining) {
  wire::PeerFrame frame;
  frame.mutable_confirmation()->set_call(call);
  frame.mutable_confirmation()->set_remaining_us(ToRemainingMicroseconds(remaining));
  frame.mutable_confirmation()->set_sender_clock_us(
      ToClockMicroseconds(std::chrono::steady_clock::now()));
  return frame;
}

std::size_t RawPeer::Count(wire::PeerFrame::BodyCase kind) const {
  return static_cast<std::size_t>(
      std::count_if(this->received.begin(), this->received.end(),
                    [kind](const wire::PeerFrame& frame) { return frame.body_case() == kind; }));
}

}  // namespace masticpin
