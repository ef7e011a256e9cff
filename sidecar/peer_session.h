#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/admission/message_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/base/timer_subscriber.h"
#include "masticpin/membership/transit_time_estimator.h"
#include "sidecar/body_receiver.h"
#include "sidecar/body_sender.h"
#include "sidecar/catalog_store.h"
#include "sidecar/execution_observer.h"
#include "sidecar/frame_size_limit.h"
#include "sidecar/frame_stream.h"
#include "sidecar/local_executor.h"

namespace masticpin {

/// Hook for the listener's list of connections.
using PeerSessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A connection over which a peer sends requests for the local instance.
class PeerSession : public RefCounted<PeerSession>, public PeerSessionHook, private FrameObserver {
 public:
  /// `local_service` is the service of the local instance. `next_call_id` is shared by all
  /// sessions, so that calls of different peers have different ids.
  PeerSession(boost::asio::ip::tcp::socket socket,
              LocalExecutor& executor,
              const std::string& local_service,
              CatalogStore& catalog_store,
              MessageMemory& memory,
              std::uint64_t& next_call_id,
              const Clock& clock,
              TimerService& timers);
  ~PeerSession() override;

  void Start();

  /// Tells the peer that this node is about to shut down.
  void AnnounceLeaving();

  /// Queries the peer for its catalog, if this node needs it.
  void RequestCatalog();

  /// Ends the idempotent requests of the peer if its host has been cut off for a while: the peer
  /// sends them elsewhere, and its callers may have left. The others go on, and their replies are
  /// delivered if the cut ends. Called periodically.
  void CheckPeer(TimePoint now);

  /// Closes the connection. Requests of the peer that are still waiting are not run, and running
  /// ones are aborted if they are idempotent.
  void Close();

  /// Whether requests of the peer are in progress or a reply is not delivered.
  bool IsBusy();

 private:
  /// One request of the peer.
  class Execution : public ExecutionObserver, private TimerSubscriber {
   public:
    Execution(PeerSession& session, std::uint64_t peer_call_id, std::uint64_t call, bool idempotent)
        : session(session), peer_call_id(peer_call_id), call(call), idempotent(idempotent) {}

    /// Keeps the request until the parts of its body have arrived, for which `memory` is reserved.
    /// `delayed`: see StartOrConfirm().
    void ReceiveBody(wire::ExecutionRequest request, BodyReservation memory, bool delayed);
    /// Starts the request when `part` completes its body. Returns false if it exceeds the body.
    bool OnPart(std::string_view part);

    /// Passes the request and its body to the executor. If it was delayed, its caller may have
    /// left, so that the peer is asked whether it still waits. The request then starts with the
    /// answer, or after a short time without one. Until then it can be cancelled.
    void StartOrConfirm(wire::ExecutionRequest request,
                        Ref<const MessageBody> new_body,
                        bool delayed);
    void OnConfirmation(const wire::Confirmation& confirmation);

    void OnExecutionReply(wire::ExecutionReply reply) override;
    void OnExecutionLost(ErrorKind kind, std::string_view reason) override;
    void OnExecutionStalled() override {}

    std::uint64_t Call() const { return this->call; }
    bool IsIdempotent() const { return this->idempotent; }

   private:
    /// A request whose body arrives in parts.
    struct Arriving {
      wire::ExecutionRequest request;
      BodyReceiver body;
      TimePoint began_at;
      bool delayed;
    };

    void OnTimer(TimePoint now) override;
    void Start(wire::ExecutionRequest request);

    PeerSession& session;
    Ref<const MessageBody> body;
    /// Id of the call at the peer, and at the local executor.
    const std::uint64_t peer_call_id;
    const std::uint64_t call;
    const bool idempotent;
    /// The request, while its body arrives.
    std::unique_ptr<Arriving> arriving;
    /// The request, while it waits for the confirmation.
    std::unique_ptr<wire::ExecutionRequest> unconfirmed;
    TimePoint asked_at{};
  };

  void OnFrame(wire::PeerFrame& frame) override;
  void OnFramesWritten() override { this->body_sender.SendNext(*this->stream); }
  void OnUnreadableFrame(const UnreadableFrame& frame) override;
  void OnStreamClosed(std::string_view reason) override;
  /// Updates the time of the last contact if bytes have arrived, also those of an incomplete frame.
  void UpdateContact(TimePoint now);
  void SendKeepAlive(TimePoint now);
  void SendReply(std::uint64_t peer_call_id, wire::ExecutionReply reply);
  /// Sends a reply whose body the peer gets in parts.
  void SendReplyInParts(wire::PeerFrame& frame);
  /// Reserves the memory of a response. If there is none, replaces it by an error.
  BodyReservation ReserveResponse(wire::ExecutionReply& reply, std::size_t bytes);
  /// Ends the idempotent requests in progress, as lost.
  void EndIdempotent(Duration silence);
  void OnHello(const wire::PeerHello& hello);
  void OnRequest(wire::ExecutionRequest& request);
  void OnRequestPart(const wire::BodyPart& part);
  /// Replaces the response in a reply by an error, because it cannot be kept or sent.
  static void DropResponse(wire::ExecutionReply& reply);
  /// Makes `frame` one that the peer can read: replaces a reply that is too large by an error.
  void FitReply(wire::PeerFrame& frame) const;
  /// Returns whether the request may have been under way for so long that its caller has left
  /// meanwhile. If so, reduces its remaining time as far as that is known.
  bool MayBeDelayed(wire::ExecutionRequest& request);

  LocalExecutor& executor;
  const std::string& local_service;
  CatalogStore& catalog_store;
  MessageMemory& memory;
  std::uint64_t& next_call_id;
  const Clock& clock;
  TimerService& timers;
  TransitTimeEstimator transit_time;
  /// From the peer's hello frame.
  std::string caller_service;
  bool service_matches = false;
  bool answers_receiver = false;
  FrameSizeLimit frame_limit;
  bool accepts_body_parts = false;
  BodySender body_sender{BodySender::Direction::kReplies};
  Ref<FrameStream> stream;
  /// When bytes arrived last, and when a keep-alive was sent because none had arrived.
  TimePoint last_contact;
  TimePoint keep_alive_sent{};
  /// Bytes received at the last check, and acknowledged when the last keep-alive was sent.
  std::uint64_t received_bytes = 0;
  std::uint64_t acknowledged_at_keep_alive = 0;
  /// When the last reply was sent, and when the peer's host was seen to acknowledge further bytes
  /// during a shutdown.
  TimePoint replied_at{};
  TimePoint delivered_at{};
  std::uint64_t delivered_bytes = 0;
  /// Keyed by the peer's call id.
  std::map<std::uint64_t, std::unique_ptr<Execution>> executions;
  Ref<PeerSession> self;
};

}  // namespace masticpin
