#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "masticpin/admission/message_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/body_receiver.h"
#include "sidecar/body_sender.h"
#include "sidecar/catalog_store.h"
#include "sidecar/frame_size_limit.h"
#include "sidecar/frame_stream.h"
#include "sidecar/peer_link_observer.h"
#include "sidecar/request_executor.h"

namespace masticpin {

/// The connection over which this node sends requests to one peer. It is opened by the first
/// request and closed after it has been idle. A peer that stays silent while requests are in
/// progress is sent a keep-alive. If there is no reply, the peer is reported as silent, but
/// requests in progress keep waiting: the peer may only have no processor time. The connection ends
/// when the kernel finds that the peer's host is gone.
class PeerLink : public RefCounted<PeerLink>,
                 public RequestExecutor,
                 private FrameObserver,
                 private TimerSubscriber {
 public:
  /// `instance` and `service` are those of the peer; `local_service` is that of this node.
  PeerLink(boost::asio::io_context& loop,
           const Clock& clock,
           TimerService& timers,
           PeerLinkObserver& observer,
           const CatalogStore& catalog_store,
           std::string instance,
           std::string service,
           std::string local_service,
           SocketAddress address,
           MessageMemory& memory);
  ~PeerLink() override;

  void Execute(wire::ExecutionRequest request,
               Ref<const MessageBody> body,
               ExecutionObserver& observer) override;
  void Cancel(std::uint64_t call) override;

  /// Closes the connection and fails all requests on it.
  void Close();

  const SocketAddress& Address() const { return this->address; }
  bool HasRequests() const { return !this->calls.empty(); }

  /// Stops reports about the peer, because another link to it takes new requests. Those in progress
  /// are completed.
  void Retire();

  /// Whether the peer is silent and its host acknowledges nothing. Another connection may work.
  bool IsStuck() const { return this->silent && !this->host_responds; }

 private:
  struct Call {
    ExecutionObserver* observer;
    TimePoint sent_at;
    TimePoint deadline;
  };

  struct LargeRequest {
    wire::ExecutionRequest request;
    Ref<const MessageBody> body;
  };

  /// A reply whose body arrives in parts.
  struct ArrivingReply {
    wire::ExecutionReply reply;
    BodyReceiver body;
  };

  enum class State : std::uint8_t { kClosed, kConnecting, kOpen };

  void OnFrame(wire::PeerFrame& frame) override;
  void OnFramesWritten() override { this->body_sender.SendNext(*this->stream); }
  void OnUnreadableFrame(const UnreadableFrame& frame) override;
  void OnStreamClosed(std::string_view reason) override;
  void OnTimer(TimePoint now) override;
  /// Answers the peer's question whether a request is still wanted.
  void Confirm(std::uint64_t call);
  void SendRequest(wire::PeerFrame& frame);
  /// Decides how the peer gets large bodies, and sends the requests that wait for that.
  void SetAcceptsBodyParts(bool accepts);
  void SendLargeRequests();
  void SendLargeRequest(LargeRequest large);
  /// Ends a request that is not sent, because the peer does not accept its size.
  void RefuseTooLarge(const wire::ExecutionRequest& request, std::size_t bytes);
  void OnReply(wire::ExecutionReply& reply);
  void OnReplyPart(const wire::BodyPart& part);
  /// Tells the peer that nobody waits for the reply to `call`.
  void SendCancel(std::uint64_t call);
  /// Drops the bodies of the request and the reply of `call` that are not transferred yet.
  void DropTransfers(std::uint64_t call);
  /// Ends `call` with `reply`, if it is in progress.
  void FinishCall(std::uint64_t call, wire::ExecutionReply reply);
  /// Ends `call`, whose reply may be a response of the instance that is lost.
  void FinishWithoutResponse(std::uint64_t call);
  /// The requests in progress that the peer does not have completely, so that they do not run.
  std::set<std::uint64_t> FindUndelivered() const;
  void Connect();
  void OnConnected();
  void SendKeepAlive(TimePoint now);
  /// Updates the time of the last contact if bytes have arrived, also those of an incomplete frame.
  void UpdateContact(TimePoint now);
  /// Called when the peer has not replied to a keep-alive in time. Reports that to the observer of
  /// each request, each time: it may depend on other instances what can be done.
  void OnSilence(TimePoint now);
  void ReportSilence(TimePoint now);
  void ReportLoad(const wire::LoadReport& load);
  /// Closes the connection and fails all requests on it with `kind`.
  void Fail(ErrorKind kind, std::string_view reason);

  boost::asio::io_context& loop;
  const Clock& clock;
  TimerService& timers;
  PeerLinkObserver& observer;
  const CatalogStore& catalog_store;
  const std::string instance;
  const std::string service;
  const std::string local_service;
  const SocketAddress address;
  MessageMemory& memory;

  State state = State::kClosed;
  std::unique_ptr<boost::asio::ip::tcp::socket> connecting_socket;
  Ref<FrameStream> stream;
  /// Limit of the connection; the default until the peer's hello arrives.
  FrameSizeLimit frame_limit;
  /// Whether the peer accepts bodies in parts; std::nullopt until that is known.
  std::optional<bool> accepts_body_parts;
  /// Requests that wait for the connection to be established.
  std::vector<wire::PeerFrame> waiting;
  /// Requests with large bodies that wait until it is known how the peer gets them.
  std::map<std::uint64_t, LargeRequest> large_requests;
  BodySender body_sender{BodySender::Direction::kRequests};
  std::map<std::uint64_t, ArrivingReply> arriving_replies;
  std::map<std::uint64_t, Call> calls;
  /// Requests of a closed connection whose observers are not notified yet.
  std::map<std::uint64_t, Call> lost_calls;
  bool retired = false;
  TimePoint last_contact{};
  TimePoint last_sent{};
  /// When the last request in progress was cancelled.
  TimePoint last_cancel{};
  bool keep_alive_pending = false;
  TimePoint keep_alive_sent{};
  /// Whether the peer has not replied to the last keep-alive in time, and whether its host has
  /// acknowledged anything since that was sent.
  bool silent = false;
  bool host_responds = true;
  /// Bytes acknowledged when the last keep-alive was sent, and received at the last check.
  std::uint64_t acknowledged_at_keep_alive = 0;
  std::uint64_t received_bytes = 0;
};

}  // namespace masticpin
