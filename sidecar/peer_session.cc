#include "sidecar/peer_session.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "masticpin/base/received_duration.h"
#include "sidecar/peer_protocol.h"
#include "sidecar/tcp_connection_state.h"
#include "sidecar/utf8.h"

namespace masticpin {
namespace {

/// A request that was under way for longer than this was delayed. Work for a caller that left has
/// to end within 0.5 s; the rest of that time is for the queue and for the cancel frame.
constexpr Duration kMaxTransitTime = std::chrono::milliseconds(200);

/// A delayed request waits for the peer's confirmation for at most this time. Once a cut of the
/// link has ended, the answer takes a few milliseconds. On a link that is just slow it takes as
/// long as the request itself, and waiting for it would double the delay of callers that still
/// wait.
constexpr Duration kMaxConfirmationWait = std::chrono::milliseconds(100);

}  // namespace

PeerSession::PeerSession(boost::asio::ip::tcp::socket socket,
                         LocalExecutor& executor,
                         const std::string& local_service,
                         CatalogStore& catalog_store,
                         MessageMemory& memory,
                         std::uint64_t& next_call_id,
                         const Clock& clock,
                         TimerService& timers)
    : executor(executor),
      local_service(local_service),
      catalog_store(catalog_store),
      memory(memory),
      next_call_id(next_call_id),
      clock(clock),
      timers(timers),
      stream(new FrameStream(std::move(socket), *this)),
      last_contact(clock.Now()) {
  this->stream->CountReceived(memory.requests);
}

PeerSession::~PeerSession() {
  this->stream->Close();
}

void PeerSession::Start() {
  this->self = Ref<PeerSession>(this);
  this->stream->Start();
  this->RequestCatalog();
}

void PeerSession::RequestCatalog() {
  wire::PeerFrame frame;
  if (this->catalog_store.NeedsCatalog(*frame.mutable_catalog_request())) {
    this->stream->Send(frame);
  }
}

void PeerSession::AnnounceLeaving() {
  wire::PeerFrame frame;
  frame.mutable_leaving();
  this->stream->Send(frame);
}

void PeerSession::CheckPeer(TimePoint now) {
  this->UpdateContact(now);
  const Duration silence = now - this->last_contact;
  const bool waits = !this->executions.empty() || this->stream->UnacknowledgedBytes() > 0;
  if (!waits || !this->answers_receiver || silence < kSilenceBeforeKeepAlive ||
      this->stream->HasUnreadBytes()) {
    return;
  }
  if (this->keep_alive_sent < this->last_contact) {
    this->SendKeepAlive(now);
    return;
  }
  if (now - this->keep_alive_sent < kKeepAliveTimeout) {
    return;
  }
  // A host that responds has a process that is paused and will read its replies.
  if (!this->stream->HostResponds(this->acknowledged_at_keep_alive)) {
    this->EndIdempotent(silence);
    if (silence >= kHostTimeout) {
      this->OnStreamClosed("host does not respond");
      return;
    }
  }
  this->SendKeepAlive(now);
}

void PeerSession::UpdateContact(TimePoint now) {
  if (this->stream->ReceivedBytes() != this->received_bytes) {
    this->received_bytes = this->stream->ReceivedBytes();
    this->last_contact = now;
  }
}

void PeerSession::SendKeepAlive(TimePoint now) {
  this->keep_alive_sent = now;
  this->acknowledged_at_keep_alive = this->stream->AcknowledgedBytes();
  wire::PeerFrame frame;
  frame.mutable_keep_alive();
  this->stream->Send(frame);
}

void PeerSession::EndIdempotent(Duration silence) {
  std::vector<std::uint64_t> ended;
  for (const auto& [peer_call_id, execution] : this->executions) {
    // One that waits for the instance ends by itself soon, as not run.
    if (execution->IsIdempotent() && this->executor.IsRunning(execution->Call())) {
      ended.push_back(peer_call_id);
    }
  }
  if (ended.empty()) {
    return;
  }
  spdlog::info("event=peer_session_cut_off caller_service={} requests={} ended={} silent_ms={}",
               this->caller_service, this->executions.size(), ended.size(),
               std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
  wire::ExecutionReply lost;
  lost.set_error(static_cast<std::uint32_t>(ErrorKind::kPeerLost));
  lost.set_reached_instance(true);
  for (const std::uint64_t peer_call_id : ended) {
    // The end of one request may end others.
    const auto found = this->executions.find(peer_call_id);
    if (found != this->executions.end()) {
      const std::unique_ptr<Execution> execution = std::move(found->second);
      this->executions.erase(found);
      this->executor.Cancel(execution->Call());
      this->SendReply(peer_call_id, lost);
    }
  }
}

bool PeerSession::IsBusy() {
  if (!this->executions.empty()) {
    return true;
  }
  if (!this->stream->HasUnsentFrames() && this->stream->UnacknowledgedBytes() == 0) {
    return false;
  }
  const TimePoint now = this->clock.Now();
  if (this->stream->AcknowledgedBytes() != this->delivered_bytes) {
    this->delivered_bytes = this->stream->AcknowledgedBytes();
    this->delivered_at = now;
  }
  return now - std::max(this->replied_at, this->delivered_at) < kMaxDeliveryWait;
}

void PeerSession::SendReply(std::uint64_t peer_call_id, wire::ExecutionReply reply) {
  wire::PeerFrame frame;
  *frame.mutable_reply() = std::move(reply);
  frame.mutable_reply()->set_call(peer_call_id);
  frame.mutable_reply()->set_configuration_version(this->catalog_store.ConfigurationVersion());
  this->replied_at = this->clock.Now();
  if (this->accepts_body_parts && frame.reply().body().size() > kMaxInlineBodyBytes) {
    this->SendReplyInParts(frame);
    return;
  }
  this->FitReply(frame);
  BodyReservation reply_memory;
  if (!frame.reply().body().empty()) {
    reply_memory = this->ReserveResponse(*frame.mutable_reply(), frame.ByteSizeLong());
  }
  this->stream->Send(frame, std::move(reply_memory));
}

void PeerSession::SendReplyInParts(wire::PeerFrame& frame) {
  wire::ExecutionReply& reply = *frame.mutable_reply();
  const std::size_t bytes = reply.body().size();
  BodyReservation reply_memory = this->ReserveResponse(reply, bytes);
  if (reply.error() != 0) {
    this->stream->Send(frame);
    return;
  }
  const Ref<const MessageBody> body(
      new MessageBody(std::move(*reply.mutable_body()), std::move(reply_memory)));
  reply.clear_body();
  reply.set_body_bytes(bytes);
  this->FitReply(frame);
  this->stream->Send(frame);
  if (reply.error() == 0) {
    this->body_sender.Add(reply.call(), body, *this->stream);
  }
}

BodyReservation PeerSession::ReserveResponse(wire::ExecutionReply& reply, std::size_t bytes) {
  BodyReservation reservation(this->memory.responses);
  if (!reservation.Grow(bytes)) {
    spdlog::warn(
        "event=response_refused caller_service={} call={} bytes={} large_bytes={} small_bytes={}",
        this->caller_service, reply.call(), bytes, this->memory.responses.LargeBytes(),
        this->memory.responses.SmallBytes());
    DropResponse(reply);
  }
  return reservation;
}

void PeerSession::Close() {
  const Ref<PeerSession> keep = std::move(this->self);
  this->PeerSessionHook::unlink();
  this->stream->Close();
  this->body_sender.Clear();
  // Nobody waits for the replies to these requests any more.
  std::map<std::uint64_t, std::unique_ptr<Execution>> abandoned;
  abandoned.swap(this->executions);
  for (const auto& [peer_call_id, execution] : abandoned) {
    this->executor.Cancel(execution->Call());
  }
}

void PeerSession::OnFrame(wire::PeerFrame& frame) {
  const Ref<PeerSession> keep(this);
  this->UpdateContact(this->clock.Now());
  switch (frame.body_case()) {
    case wire::PeerFrame::kHello:
      this->OnHello(frame.hello());
      break;
    case wire::PeerFrame::kRequest:
      this->OnRequest(*frame.mutable_request());
      break;
    case wire::PeerFrame::kOpaqueRequest:
      this->OnRequest(*frame.mutable_opaque_request());
      break;
    case wire::PeerFrame::kRequestPart:
      this->OnRequestPart(frame.request_part());
      break;
    case wire::PeerFrame::kCancel: {
      this->body_sender.Cancel(frame.cancel().call());
      const auto found = this->executions.find(frame.cancel().call());
      if (found != this->executions.end()) {
        const std::uint64_t call = found->second->Call();
        this->executions.erase(found);
        this->executor.Cancel(call);
      }
      break;
    }
    case wire::PeerFrame::kConfirmation: {
      const auto found = this->executions.find(frame.confirmation().call());
      if (found != this->executions.end()) {
        found->second->OnConfirmation(frame.confirmation());
      }
      break;
    }
    case wire::PeerFrame::kCatalog:
      this->catalog_store.ApplyCatalog(frame.catalog());
      break;
    case wire::PeerFrame::kKeepAlive: {
      wire::PeerFrame reply;
      EncodeLoadReport(this->executor.GetLoad(), *reply.mutable_keep_alive_reply()->mutable_load());
      reply.mutable_keep_alive_reply()->set_configuration_version(
          this->catalog_store.ConfigurationVersion());
      this->stream->Send(reply);
      break;
    }
    case wire::PeerFrame::kKeepAliveReply:
      break;
    default:
      spdlog::warn("event=unexpected_frame frame={}", static_cast<int>(frame.body_case()));
      break;
  }
}

void PeerSession::OnHello(const wire::PeerHello& hello) {
  if (hello.protocol() != kPeerProtocolVersion) {
    spdlog::warn("event=unknown_peer_protocol protocol={}", hello.protocol());
    this->Close();
  }
  this->caller_service = hello.caller_service();
  this->service_matches = hello.service() == this->local_service;
  this->answers_receiver = hello.answers_receiver();
  this->frame_limit.OnHello(hello);
  this->accepts_body_parts = hello.accepts_body_parts();
  if (this->frame_limit.IsAnnounced()) {
    wire::PeerFrame frame;
    frame.mutable_hello()->set_protocol(kPeerProtocolVersion);
    FrameSizeLimit::Announce(*frame.mutable_hello());
    frame.mutable_hello()->set_accepts_body_parts(true);
    this->stream->Send(frame);
  }
}

void PeerSession::FitReply(wire::PeerFrame& frame) const {
  wire::ExecutionReply& reply = *frame.mutable_reply();
  if (!this->frame_limit.IsAnnounced() && !IsUtf8(reply.reason())) {
    reply.clear_reason();  // An older peer cannot decode it.
  }
  if (this->frame_limit.Allows(frame)) {
    return;
  }
  spdlog::warn("event=reply_too_large caller_service={} call={} bytes={}", this->caller_service,
               reply.call(), frame.ByteSizeLong());
  // The request has run, so that its outcome is unknown to a caller that cannot get the response.
  DropResponse(reply);
}

void PeerSession::DropResponse(wire::ExecutionReply& reply) {
  reply.set_error(static_cast<std::uint32_t>(ErrorKind::kUpstreamBroken));
  reply.clear_status();
  reply.clear_reason();
  reply.clear_header_lines();
  reply.clear_body();
  reply.clear_body_bytes();
}

void PeerSession::OnUnreadableFrame(const UnreadableFrame& frame) {
  const Ref<PeerSession> keep(this);
  this->UpdateContact(this->clock.Now());
  spdlog::warn("event=frame_unreadable caller_service={} frame={} call={} bytes={} reason={}",
               this->caller_service, static_cast<int>(frame.kind), frame.call, frame.bytes,
               ReasonName(frame.reason));
  if (frame.kind != wire::PeerFrame::kRequest || frame.call == 0 ||
      this->executions.contains(frame.call)) {
    return;
  }
  ErrorKind error = ErrorKind::kMalformedRequest;
  if (frame.reason == UnreadableFrame::Reason::kTooLarge) {
    error = ErrorKind::kBodyTooLarge;
  } else if (frame.reason == UnreadableFrame::Reason::kNoMemory) {
    error = ErrorKind::kOverloaded;
  }
  wire::PeerFrame reply;
  reply.mutable_reply()->set_call(frame.call);
  reply.mutable_reply()->set_error(static_cast<std::uint32_t>(error));
  reply.mutable_reply()->set_configuration_version(this->catalog_store.ConfigurationVersion());
  EncodeLoadReport(this->executor.GetLoad(), *reply.mutable_reply()->mutable_load());
  this->stream->Send(reply);
  this->replied_at = this->clock.Now();
}

void PeerSession::OnStreamClosed(std::string_view reason) {
  if (!this->executions.empty()) {
    spdlog::info("event=peer_session_closed requests={} reason=\"{}\"", this->executions.size(),
                 reason);
  }
  this->Close();
}

bool PeerSession::MayBeDelayed(wire::ExecutionRequest& request) {
  if (request.sender_clock_us() == 0) {
    return false;  // The peer is of an older version.
  }
  const std::optional<Duration> transit = this->transit_time.OnMessage(
      FromClockMicroseconds(request.sender_clock_us()), this->clock.Now());
  if (!transit) {
    return true;
  }
  if (*transit <= kMaxTransitTime) {
    return false;
  }
  spdlog::info("event=request_delayed id={} caller_service={} transit_ms={}", request.request_id(),
               this->caller_service,
               std::chrono::duration_cast<std::chrono::milliseconds>(*transit).count());
  this->executor.CountDelayed();
  request.set_remaining_us(ToRemainingMicroseconds(
      ReceivedDuration<std::chrono::microseconds>(request.remaining_us()) - *transit));
  return true;
}

void PeerSession::OnRequest(wire::ExecutionRequest& request) {
  this->catalog_store.OnPeerConfigurationVersion(request.configuration_version());
  const std::uint64_t peer_call_id = request.call();
  const std::uint64_t call = this->next_call_id++;
  auto execution = std::make_unique<Execution>(*this, peer_call_id, call, request.idempotent());
  Execution& added = *execution;
  if (!this->executions.emplace(peer_call_id, std::move(execution)).second) {
    spdlog::warn("event=duplicate_call call={}", peer_call_id);
    return;
  }
  if (!this->service_matches) {
    // The peer expects the service of the machine that had this address before.
    wire::ExecutionReply refusal;
    refusal.set_error(static_cast<std::uint32_t>(ErrorKind::kWrongIncarnation));
    added.OnExecutionReply(refusal);
    return;
  }
  const std::size_t body_bytes = std::max<std::size_t>(request.body().size(), request.body_bytes());
  BodyReservation reservation(this->memory.requests);
  if (!reservation.Grow(body_bytes)) {
    spdlog::warn(
        "event=body_refused id={} caller_service={} bytes={} large_bytes={} small_bytes={}",
        request.request_id(), this->caller_service, body_bytes, this->memory.requests.LargeBytes(),
        this->memory.requests.SmallBytes());
    wire::ExecutionReply refusal;
    refusal.set_error(static_cast<std::uint32_t>(ErrorKind::kOverloaded));
    EncodeLoadReport(this->executor.GetLoad(), *refusal.mutable_load());
    added.OnExecutionReply(refusal);
    return;
  }
  request.set_call(call);
  request.set_caller_service(this->caller_service);
  const bool delayed = this->MayBeDelayed(request);
  if (request.body_bytes() > 0) {
    added.ReceiveBody(std::move(request), std::move(reservation), delayed);
    return;
  }
  Ref<const MessageBody> body;
  if (body_bytes > 0) {
    body = Ref<const MessageBody>(
        new MessageBody(std::move(*request.mutable_body()), std::move(reservation)));
    request.clear_body();
  }
  added.StartOrConfirm(std::move(request), std::move(body), delayed);
}

void PeerSession::OnRequestPart(const wire::BodyPart& part) {
  const auto found = this->executions.find(part.call());
  if (found == this->executions.end()) {
    return;  // The request was refused or cancelled.
  }
  Execution& execution = *found->second;
  if (!execution.OnPart(part.bytes())) {
    spdlog::warn("event=body_part_too_long caller_service={} call={}", this->caller_service,
                 part.call());
    wire::ExecutionReply refusal;
    refusal.set_error(static_cast<std::uint32_t>(ErrorKind::kMalformedRequest));
    execution.OnExecutionReply(std::move(refusal));
  }
}

void PeerSession::Execution::ReceiveBody(wire::ExecutionRequest request,
                                         BodyReservation memory,
                                         bool delayed) {
  const std::size_t bytes = request.body_bytes();
  this->arriving = std::make_unique<Arriving>(Arriving{std::move(request),
                                                       BodyReceiver(bytes, std::move(memory)),
                                                       this->session.clock.Now(), delayed});
  // A peer that sends nothing more must not keep the memory of the body.
  this->session.timers.Schedule(
      *this, this->arriving->began_at + ReceivedDuration<std::chrono::microseconds>(
                                            this->arriving->request.remaining_us()));
}

bool PeerSession::Execution::OnPart(std::string_view part) {
  if (this->arriving == nullptr) {
    return true;  // The request has started or is refused; its result says so.
  }
  const BodyReceiver::Result result = this->arriving->body.Append(part);
  if (result == BodyReceiver::Result::kComplete) {
    this->session.timers.Cancel(*this);
    const std::unique_ptr<Arriving> complete = std::move(this->arriving);
    const Duration elapsed = this->session.clock.Now() - complete->began_at;
    wire::ExecutionRequest& request = complete->request;
    request.clear_body_bytes();
    request.set_remaining_us(ToRemainingMicroseconds(
        ReceivedDuration<std::chrono::microseconds>(request.remaining_us()) - elapsed));
    this->StartOrConfirm(std::move(request), complete->body.TakeBody(),
                         complete->delayed || elapsed > kMaxTransitTime);
  }
  return result != BodyReceiver::Result::kTooLong;
}

void PeerSession::Execution::Start(wire::ExecutionRequest request) {
  this->session.executor.Execute(std::move(request), std::move(this->body), *this);
}

void PeerSession::Execution::StartOrConfirm(wire::ExecutionRequest request,
                                            Ref<const MessageBody> new_body,
                                            bool delayed) {
  this->body = std::move(new_body);
  if (!delayed || !this->session.answers_receiver) {
    this->Start(std::move(request));
    return;
  }
  this->unconfirmed = std::make_unique<wire::ExecutionRequest>(std::move(request));
  this->asked_at = this->session.clock.Now();
  this->session.timers.Schedule(*this, this->asked_at + kMaxConfirmationWait);
  wire::PeerFrame frame;
  frame.mutable_confirmation_request()->set_call(this->peer_call_id);
  this->session.stream->Send(frame);
}

void PeerSession::Execution::OnConfirmation(const wire::Confirmation& confirmation) {
  if (this->unconfirmed == nullptr) {
    return;  // It was started without the answer.
  }
  this->session.timers.Cancel(*this);
  this->session.transit_time.OnReply(this->asked_at,
                                     FromClockMicroseconds(confirmation.sender_clock_us()),
                                     this->session.clock.Now());
  this->unconfirmed->set_remaining_us(confirmation.remaining_us());
  const std::unique_ptr<wire::ExecutionRequest> confirmed = std::move(this->unconfirmed);
  this->Start(std::move(*confirmed));
}

void PeerSession::Execution::OnTimer(TimePoint) {
  if (this->arriving != nullptr) {
    wire::ExecutionReply refusal;
    refusal.set_error(static_cast<std::uint32_t>(ErrorKind::kExpiredBeforeStart));
    this->OnExecutionReply(std::move(refusal));
    return;
  }
  const std::unique_ptr<wire::ExecutionRequest> request = std::move(this->unconfirmed);
  this->Start(std::move(*request));
}

void PeerSession::Execution::OnExecutionReply(wire::ExecutionReply reply) {
  PeerSession& owner = this->session;
  owner.SendReply(this->peer_call_id, std::move(reply));
  owner.executions.erase(this->peer_call_id);  // Destroys this object.
}

void PeerSession::Execution::OnExecutionLost(ErrorKind kind, std::string_view reason) {
  spdlog::warn("event=execution_lost error={} reason=\"{}\"", GetErrorInfo(kind).name, reason);
  this->session.executions.erase(this->peer_call_id);  // Destroys this object.
}

}  // namespace masticpin
