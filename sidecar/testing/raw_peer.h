#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"
#include "sidecar/frame_observer.h"
#include "sidecar/frame_stream.h"

namespace masticpin {

/// A connection to a node that speaks the protocol between nodes and lets the test choose each
/// frame.
class RawPeer : private FrameObserver {
 public:
  enum class Reading : std::uint8_t {
    kAlways,
    /// Reads nothing and has a small receive buffer, so that its host stops acknowledging.
    kNever,
  };

  /// Connects and says hello, as a node of `caller_service` that sends requests for `service`.
  RawPeer(boost::asio::io_context& loop,
          const SocketAddress& address,
          const std::string& service,
          const std::string& caller_service,
          Reading reading = Reading::kAlways);
  /// Uses a connection that a node has opened.
  explicit RawPeer(boost::asio::ip::tcp::socket socket);
  ~RawPeer() override { this->stream->Close(); }

  /// Makes the host of this peer drop all that arrives on the connection, without acknowledging it,
  /// and ends that.
  void CutOff();
  void Restore();

  /// Reads from now on, if it did not before.
  void StartReading() { this->stream->Start(); }

  void Send(const wire::PeerFrame& frame) { this->stream->Send(frame); }
  void Send(const std::vector<wire::PeerFrame>& frames);

  /// Returns a request that was sent `age` ago.
  static wire::PeerFrame MakeRequest(std::uint64_t call,
                                     const std::string& id,
                                     bool idempotent,
                                     Duration age = Duration::zero());
  static wire::PeerFrame MakeCancel(std::uint64_t call);
  /// Returns the hello with which a node answers that of another one.
  static wire::PeerFrame MakeHello(bool accepts_body_parts);
  static wire::PeerFrame MakeConfirmation(std::uint64_t call, Duration remaining);

  /// Returns `frame` as it is sent.
  static std::string Encode(const wire::PeerFrame& frame);

  /// All frames received so far.
  const std::vector<wire::PeerFrame>& Received() const { return this->received; }
  std::size_t Count(wire::PeerFrame::BodyCase kind) const;
  bool IsClosedByPeer() const { return this->closed_by_peer; }

 private:
  void OnFrame(wire::PeerFrame& frame) override { this->received.push_back(frame); }
  void OnUnreadableFrame(const UnreadableFrame&) override {}
  void OnStreamClosed(std::string_view) override { this->closed_by_peer = true; }

  Ref<FrameStream> stream;
  /// Descriptor of the socket that `stream` owns.
  int descriptor = -1;
  std::vector<wire::PeerFrame> received;
  bool closed_by_peer = false;
};

}  // namespace masticpin
