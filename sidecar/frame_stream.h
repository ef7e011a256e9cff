#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/wire/peer_frame.pb.h"
#include "sidecar/frame_observer.h"

namespace masticpin {

/// Sends and receives the frames of one connection between nodes: protobuf messages in the
/// delimited format (each preceded by its length as a varint). Frames that are sent while a write
/// is in progress are combined into the next write. A frame that is too large is skipped without
/// storing it, and one that cannot be decoded is dropped; the connection goes on.
class FrameStream : public RefCounted<FrameStream> {
 public:
  /// `observer` must outlive the stream, or Close() must be called before it is destroyed.
  FrameStream(boost::asio::ip::tcp::socket socket, FrameObserver& observer);

  /// Counts large frames in `memory` while they arrive; a frame without room is skipped. `memory`
  /// must outlive the open connection.
  void CountReceived(BodyMemory& memory) {
    this->input_memory = BodyReservation(memory);
    this->counts_input = true;
  }

  /// Starts reading.
  void Start();

  /// `memory` is that of the frame; it is released when the frame is written.
  void Send(const wire::PeerFrame& frame, BodyReservation memory = {});

  /// Closes the connection without a callback.
  void Close();

  /// Closes the connection without a callback. What the peer's host did not receive yet is
  /// discarded.
  void Abort();

  /// Whether frames wait to be handed to the kernel.
  bool HasUnsentFrames() const { return this->writing || !this->pending.empty(); }

  /// Number of bytes that were handed to the kernel and that the peer's host has not acknowledged.
  std::size_t UnacknowledgedBytes();

  /// Number of bytes since the start that the peer's host has acknowledged.
  std::uint64_t AcknowledgedBytes();

  /// Whether the peer's host has answered for the connection since it had acknowledged `before`
  /// bytes, also if the peer's process reads nothing.
  bool HostResponds(std::uint64_t before);

  /// Number of bytes received since the start, including those of incomplete frames.
  std::uint64_t ReceivedBytes() const { return this->received_bytes; }

  /// Whether bytes have arrived that were not read yet.
  bool HasUnreadBytes() const;

 private:
  static constexpr std::size_t kReadBytes = std::size_t{16} << 10;

  /// Bytes of one or several frames, and their memory.
  struct Chunk {
    std::string bytes;
    std::vector<BodyReservation> memory;
  };

  void Read();
  void OnRead(std::size_t bytes);
  /// Reserves the memory of a frame that is arriving. Returns false if there is none.
  bool ReserveInput(std::size_t bytes);
  void ReleaseMemory();
  void Write();
  void Fail(std::string_view reason);

  boost::asio::ip::tcp::socket socket;
  FrameObserver* observer;
  std::unique_ptr<char[]> read_buffer;
  std::string input;
  /// Memory of the frame that is arriving, if it is large.
  BodyReservation input_memory;
  bool counts_input = false;
  /// Number of bytes to come of a frame that is skipped.
  std::size_t bytes_to_skip = 0;
  /// Frames that are being written (`output`), and those queued for the next writes (`pending`).
  Chunk output;
  std::deque<Chunk> pending;
  bool writing = false;
  /// Bytes handed to the kernel by completed writes, and by the one in progress.
  std::uint64_t written_bytes = 0;
  std::size_t written_of_output = 0;
  std::uint64_t received_bytes = 0;
  /// Maximum of the acknowledged bytes seen so far.
  std::uint64_t acknowledged_bytes = 0;
};

}  // namespace masticpin
