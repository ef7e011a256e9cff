#include "sidecar/frame_stream.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "sidecar/frame_size_limit.h"
#include "sidecar/tcp_connection_state.h"

namespace masticpin {
namespace {

/// Buffers that grew beyond this size in a burst are released.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{64} << 10;

/// Frames are combined in a chunk up to this size. A larger frame has a chunk of its own, so that
/// it is not copied when others follow it.
constexpr std::size_t kMaxCombinedBytes = std::size_t{64} << 10;

/// Frames up to this size are not counted while they arrive.
constexpr std::size_t kMaxUncountedFrameBytes = std::size_t{64} << 10;

/// Maximum number of bytes that one system call hands to the kernel.
constexpr std::size_t kMaxWriteBytes = std::size_t{64} << 10;

/// Maximum size of the varint that holds a frame's length.
constexpr std::size_t kMaxLengthBytes = 5;

/// Maximum size of a frame that is skipped. No node sends larger ones, so a greater length is that
/// of a corrupted stream, in which the next frame cannot be found.
constexpr std::size_t kMaxSkippedFrameBytes = std::size_t{1} << 30;

}  // namespace

FrameStream::FrameStream(boost::asio::ip::tcp::socket socket, FrameObserver& observer)
    : socket(std::move(socket)),
      observer(&observer),
      read_buffer(std::make_unique<char[]>(kReadBytes)) {}

void FrameStream::Start() {
  this->Read();
}

void FrameStream::Send(const wire::PeerFrame& frame, BodyReservation memory) {
  if (this->observer == nullptr) {
    return;
  }
  const std::size_t size = frame.ByteSizeLong() + kMaxLengthBytes;
  if (this->pending.empty() || this->pending.back().bytes.size() + size > kMaxCombinedBytes) {
    this->pending.emplace_back();
    this->pending.back().bytes.reserve(size);
  }
  Chunk& chunk = this->pending.back();
  {
    google::protobuf::io::StringOutputStream stream(&chunk.bytes);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(frame, &stream);
  }
  if (memory.Bytes() > 0) {
    chunk.memory.push_back(std::move(memory));
  }
  this->Write();
}

void FrameStream::Close() {
  this->observer = nullptr;
  boost::system::error_code ignored;  // The connection is closed even if this fails.
  this->socket.close(ignored);
  this->ReleaseMemory();
}

void FrameStream::Abort() {
  this->observer = nullptr;
  CloseAndDiscard(this->socket);
  this->ReleaseMemory();
}

void FrameStream::ReleaseMemory() {
  this->pending.clear();
  this->output.memory.clear();
  this->input_memory.Release();
}

std::size_t FrameStream::UnacknowledgedBytes() {
  return masticpin::UnacknowledgedBytes(this->socket);
}

std::uint64_t FrameStream::AcknowledgedBytes() {
  // A write that the kernel has accepted is counted here only when its handler runs.
  const std::uint64_t handed = this->written_bytes + this->written_of_output;
  const std::uint64_t unacknowledged = this->UnacknowledgedBytes();
  if (handed > unacknowledged) {
    this->acknowledged_bytes = std::max(this->acknowledged_bytes, handed - unacknowledged);
  }
  return this->acknowledged_bytes;
}

bool FrameStream::HostResponds(std::uint64_t before) {
  return this->UnacknowledgedBytes() == 0 || this->AcknowledgedBytes() > before ||
         HasAcknowledgedAllSegments(this->socket).value_or(false);
}

bool FrameStream::HasUnreadBytes() const {
  boost::system::error_code ignored;  // After an error the pending read closes the connection.
  return this->socket.available(ignored) > 0;
}

void FrameStream::Read() {
  this->socket.async_read_some(
      boost::asio::buffer(this->read_buffer.get(), kReadBytes),
      [self = Ref<FrameStream>(this)](const boost::system::error_code& error, std::size_t bytes) {
        if (self->observer == nullptr) {
          return;
        }
        if (error) {
          self->Fail(error.message());
          return;
        }
        self->OnRead(bytes);
      });
}

void FrameStream::OnRead(std::size_t bytes) {
  this->received_bytes += bytes;
  const std::size_t skipped = std::min(this->bytes_to_skip, bytes);
  this->bytes_to_skip -= skipped;
  this->input.append(this->read_buffer.get() + skipped, bytes - skipped);
  std::size_t used = 0;
  while (this->observer != nullptr) {
    // Read the length of the next frame.
    const auto* begin = reinterpret_cast<const std::uint8_t*>(this->input.data()) + used;
    const std::size_t available = this->input.size() - used;
    google::protobuf::io::CodedInputStream coded(begin, static_cast<int>(available));
    std::uint32_t length = 0;
    if (available == 0 || !coded.ReadVarint32(&length)) {
      if (available >= kMaxLengthBytes) {
        this->Fail("frame has no valid length");
      }
      break;
    }
    if (length > kMaxSkippedFrameBytes) {
      this->Fail("frame is too large");
      break;
    }
    const auto header = static_cast<std::size_t>(coded.CurrentPosition());
    const bool too_large = length > FrameSizeLimit::kDefaultBytes;
    const std::size_t start_bytes = std::min<std::size_t>(length, kFrameStartBytes);
    if (available < header + start_bytes) {
      break;
    }
    const bool no_memory = !too_large && !this->ReserveInput(length);
    const bool skipped = too_large || no_memory;
    if (!skipped && available < header + length) {
      this->input.reserve(used + header + length);
      break;
    }
    const std::string_view content(this->input.data() + used + header,
                                   std::min<std::size_t>(available - header, length));
    const std::string_view start = content.substr(0, kFrameStartBytes);
    this->input_memory.Release();
    used += header + content.size();
    if (skipped) {
      this->bytes_to_skip = length - content.size();
      this->observer->OnUnreadableFrame(IdentifyFrame(
          start, length,
          no_memory ? UnreadableFrame::Reason::kNoMemory : UnreadableFrame::Reason::kTooLarge));
      continue;
    }
    // Deliver the frame.
    wire::PeerFrame frame;
    if (!frame.ParseFromArray(content.data(), static_cast<int>(content.size()))) {
      this->observer->OnUnreadableFrame(
          IdentifyFrame(start, length, UnreadableFrame::Reason::kUndecodable));
      continue;
    }
    this->observer->OnFrame(frame);
  }
  if (this->observer == nullptr) {
    return;
  }
  this->input.erase(0, used);
  if (this->input.empty() && this->input.capacity() > kMaxRetainedBufferBytes) {
    std::string().swap(this->input);
  }
  this->Read();
}

bool FrameStream::ReserveInput(std::size_t bytes) {
  return !this->counts_input || bytes <= kMaxUncountedFrameBytes || this->input_memory.Grow(bytes);
}

void FrameStream::Write() {
  if (this->writing || this->pending.empty()) {
    return;
  }
  this->writing = true;
  this->output = std::move(this->pending.front());
  this->pending.pop_front();
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->output.bytes),
      [self = Ref<FrameStream>(this)](const boost::system::error_code& error,
                                      std::size_t bytes) -> std::size_t {
        self->written_of_output = bytes;
        return error ? 0 : kMaxWriteBytes;
      },
      [self = Ref<FrameStream>(this)](const boost::system::error_code& error, std::size_t bytes) {
        self->writing = false;
        self->written_bytes += bytes;
        self->written_of_output = 0;
        self->output = Chunk();
        if (self->observer == nullptr) {
          return;
        }
        if (error) {
          self->Fail(error.message());
          return;
        }
        self->Write();
        if (!self->writing) {
          self->observer->OnFramesWritten();
        }
      });
}

void FrameStream::Fail(std::string_view reason) {
  FrameObserver* const finished_observer = this->observer;
  const std::string text(reason);
  this->Close();
  if (finished_observer != nullptr) {
    finished_observer->OnStreamClosed(text);
  }
}

}  // namespace masticpin
