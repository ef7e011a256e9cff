#include "sidecar/peer_link.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <vector>

#include "sidecar/peer_protocol.h"
#include "sidecar/tcp_address.h"
#include "sidecar/utf8.h"

namespace masticpin {
namespace {

/// The network latency between availability zones is a few milliseconds. A SYN to a machine that is
/// just starting is lost, and the kernel retransmits it only after a second, so connecting anew is
/// faster.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

/// Time in which the peer's host has to acknowledge the cancel frame of the last request in
/// progress. After it the connection is given up, so that the requests before the frame are not
/// delivered when a cut of the link ends: work for a caller that left has to end within 0.5 s.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(400);

/// Unread bytes of the peer are looked for again after this time; they are read in the next pass of
/// the event loop.
constexpr Duration kUnreadBytesDelay = std::chrono::milliseconds(10);

/// A connection without requests is closed after this time.
constexpr Duration kIdleTimeout = std::chrono::seconds(30);

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& loop,
                   const Clock& clock,
                   TimerService& timers,
                   PeerLinkObserver& observer,
                   const CatalogStore& catalog_store,
                   std::string instance,
                   std::string service,
                   std::string local_service,
                   SocketAddress address,
                   MessageMemory& memory)
    : loop(loop),
      clock(clock),
      timers(timers),
      observer(observer),
      catalog_store(catalog_store),
      instance(std::move(instance)),
      service(std::move(service)),
      local_service(std::move(local_service)),
      address(std::move(address)),
      memory(memory) {}

PeerLink::~PeerLink() {
  if (this->stream != nullptr) {
    this->stream->Abort();
  }
}

void PeerLink::Execute(wire::ExecutionRequest request,
                       Ref<const MessageBody> body,
                       ExecutionObserver& call_observer) {
  const std::uint64_t call = request.call();
  const Duration remaining = std::chrono::microseconds(request.remaining_us());
  wire::PeerFrame frame;
  *frame.mutable_request() = std::move(request);
  frame.mutable_request()->clear_caller_service();
  const bool large = body != nullptr && body->Size() > kMaxInlineBodyBytes;
  if (body != nullptr && !large) {
    frame.mutable_request()->set_body(body->Bytes());
  }
  const TimePoint now = this->clock.Now();
  frame.mutable_request()->set_sender_clock_us(ToClockMicroseconds(now));
  frame.mutable_request()->set_configuration_version(this->catalog_store.ConfigurationVersion());
  if (this->calls.empty() && !this->silent) {
    // A peer may send nothing while no request is in progress, so silence is measured from this
    // one.
    this->last_contact = now;
    this->keep_alive_pending = false;
  }
  this->calls[call] = Call{&call_observer, now, now + remaining};
  if (!this->frame_limit.Allows(frame)) {
    this->RefuseTooLarge(frame.request(), frame.ByteSizeLong());
    return;
  }
  this->last_sent = now;
  if (large) {
    this->large_requests.emplace(
        call, LargeRequest{std::move(*frame.mutable_request()), std::move(body)});
  } else if (this->state == State::kOpen) {
    this->SendRequest(frame);
  } else {
    this->waiting.push_back(std::move(frame));
  }
  if (this->state == State::kClosed) {
    this->Connect();
  } else if (this->state == State::kOpen) {
    if (!this->keep_alive_pending) {
      this->timers.Schedule(*this, this->last_contact + kSilenceBeforeKeepAlive);
    }
    this->SendLargeRequests();
  }
}

void PeerLink::SetAcceptsBodyParts(bool accepts) {
  this->accepts_body_parts = accepts;
  this->SendLargeRequests();
}

void PeerLink::SendLargeRequests() {
  // The end of a request may cancel or start others.
  while (this->accepts_body_parts && !this->large_requests.empty()) {
    this->SendLargeRequest(
        std::move(this->large_requests.extract(this->large_requests.begin()).mapped()));
  }
}

void PeerLink::SendLargeRequest(LargeRequest large) {
  const std::uint64_t call = large.request.call();
  const TimePoint now = this->clock.Now();
  wire::PeerFrame frame;
  *frame.mutable_request() = std::move(large.request);
  frame.mutable_request()->set_remaining_us(
      ToRemainingMicroseconds(this->calls.at(call).deadline - now));
  frame.mutable_request()->set_sender_clock_us(ToClockMicroseconds(now));
  if (*this->accepts_body_parts) {
    frame.mutable_request()->set_body_bytes(large.body->Size());
    this->SendRequest(frame);
    this->body_sender.Add(call, std::move(large.body), *this->stream);
    return;
  }
  const std::size_t bytes = large.body->Size();
  if (bytes <= FrameSizeLimit::MaxRequestBodyBytes(this->memory.requests.MaxLargeBodyBytes())) {
    frame.mutable_request()->set_body(large.body->Bytes());
    if (this->frame_limit.Allows(frame)) {
      this->SendRequest(frame);
      return;
    }
  }
  this->RefuseTooLarge(frame.request(), bytes);
}

void PeerLink::RefuseTooLarge(const wire::ExecutionRequest& request, std::size_t bytes) {
  spdlog::warn("event=request_too_large peer={} id={} bytes={}", this->instance,
               request.request_id(), bytes);
  wire::ExecutionReply refusal;
  refusal.set_error(static_cast<std::uint32_t>(ErrorKind::kBodyTooLarge));
  this->FinishCall(request.call(), std::move(refusal));
}

void PeerLink::SendRequest(wire::PeerFrame& frame) {
  const wire::ExecutionRequest& request = frame.request();
  if (!IsUtf8(request.target()) || !IsUtf8(request.request_id()) || !IsUtf8(request.method())) {
    const std::unique_ptr<wire::ExecutionRequest> opaque(frame.release_request());
    frame.mutable_opaque_request()->Swap(opaque.get());
  }
  this->stream->Send(frame);
}

void PeerLink::Cancel(std::uint64_t call) {
  this->lost_calls.erase(call);
  if (this->calls.erase(call) == 0) {
    return;
  }
  this->DropTransfers(call);
  if (this->state == State::kOpen) {
    this->SendCancel(call);
    if (this->calls.empty()) {
      this->last_cancel = this->clock.Now();
      this->timers.Schedule(*this, this->last_cancel + kCancelTimeout);
    }
    return;
  }
  std::erase_if(this->waiting,
                [call](const wire::PeerFrame& frame) { return frame.request().call() == call; });
}

void PeerLink::SendCancel(std::uint64_t call) {
  wire::PeerFrame frame;
  frame.mutable_cancel()->set_call(call);
  this->stream->Send(frame);
}

void PeerLink::Close() {
  const Ref<PeerLink> keep(this);
  this->Fail(ErrorKind::kPeerLost, "connection closed by the local node");
}

void PeerLink::Retire() {
  this->retired = true;
  this->observer.OnPeerClosed(this->instance);
}

void PeerLink::Connect() {
  this->state = State::kConnecting;
  this->timers.Schedule(*this, this->clock.Now() + kConnectTimeout);
  this->connecting_socket = std::make_unique<boost::asio::ip::tcp::socket>(this->loop);
  this->connecting_socket->async_connect(
      ToEndpoint(this->address),
      [self = Ref<PeerLink>(this),
       socket = this->connecting_socket.get()](const boost::system::error_code& error) {
        if (self->connecting_socket.get() != socket) {
          return;  // This connection was given up.
        }
        if (error) {
          self->Fail(ErrorKind::kUpstreamUnreachable, error.message());
          return;
        }
        self->OnConnected();
      });
}

void PeerLink::OnConnected() {
  EnableDeadPeerDetection(*this->connecting_socket);
  this->state = State::kOpen;
  this->stream = Ref<FrameStream>(new FrameStream(std::move(*this->connecting_socket), *this));
  this->stream->CountReceived(this->memory.responses);
  this->received_bytes = 0;
  this->connecting_socket.reset();
  this->last_contact = this->clock.Now();
  this->timers.Schedule(*this, this->last_contact + kSilenceBeforeKeepAlive);
  wire::PeerFrame hello;
  hello.mutable_hello()->set_protocol(kPeerProtocolVersion);
  hello.mutable_hello()->set_service(this->service);
  hello.mutable_hello()->set_caller_service(this->local_service);
  hello.mutable_hello()->set_answers_receiver(true);
  FrameSizeLimit::Announce(*hello.mutable_hello());
  hello.mutable_hello()->set_accepts_body_parts(true);
  this->stream->Send(hello);
  for (wire::PeerFrame& frame : this->waiting) {
    this->SendRequest(frame);
  }
  this->waiting.clear();
  this->stream->Start();
}

void PeerLink::OnFrame(wire::PeerFrame& frame) {
  const Ref<PeerLink> keep(this);
  this->UpdateContact(this->clock.Now());
  switch (frame.body_case()) {
    case wire::PeerFrame::kHello:
      this->frame_limit.OnHello(frame.hello());
      this->SetAcceptsBodyParts(frame.hello().accepts_body_parts());
      break;
    case wire::PeerFrame::kReply:
      this->OnReply(*frame.mutable_reply());
      break;
    case wire::PeerFrame::kReplyPart:
      this->OnReplyPart(frame.reply_part());
      break;
    case wire::PeerFrame::kKeepAliveReply:
      this->ReportLoad(frame.keep_alive_reply().load());
      this->observer.OnPeerConfigurationVersion(frame.keep_alive_reply().configuration_version());
      if (!this->accepts_body_parts) {
        this->SetAcceptsBodyParts(false);  // An old node has answered and sends no hello.
      }
      break;
    case wire::PeerFrame::kCatalogRequest: {
      wire::PeerFrame catalog_frame;
      this->catalog_store.FillCatalog(frame.catalog_request(), *catalog_frame.mutable_catalog());
      this->stream->Send(catalog_frame);
      break;
    }
    case wire::PeerFrame::kConfirmationRequest:
      this->Confirm(frame.confirmation_request().call());
      break;
    case wire::PeerFrame::kKeepAlive: {
      wire::PeerFrame reply;
      reply.mutable_keep_alive_reply();
      this->stream->Send(reply);
      break;
    }
    case wire::PeerFrame::kLeaving:
      if (!this->retired) {
        this->observer.OnPeerLeaving(this->instance);
      }
      break;
    default:
      spdlog::warn("event=unexpected_frame peer={} frame={}", this->instance,
                   static_cast<int>(frame.body_case()));
      break;
  }
}

void PeerLink::OnUnreadableFrame(const UnreadableFrame& frame) {
  const Ref<PeerLink> keep(this);
  this->UpdateContact(this->clock.Now());
  spdlog::warn("event=frame_unreadable peer={} frame={} call={} bytes={} reason={}", this->instance,
               static_cast<int>(frame.kind), frame.call, frame.bytes, ReasonName(frame.reason));
  if (frame.kind == wire::PeerFrame::kReply) {
    this->FinishWithoutResponse(frame.call);
  }
}

void PeerLink::OnReply(wire::ExecutionReply& reply) {
  this->ReportLoad(reply.load());
  this->observer.OnPeerConfigurationVersion(reply.configuration_version());
  const std::uint64_t call = reply.call();
  const std::size_t bytes = reply.body_bytes();
  if (bytes == 0 || !this->calls.contains(call)) {
    this->FinishCall(call, std::move(reply));
    return;
  }
  BodyReservation reservation(this->memory.responses);
  if (!reservation.Grow(bytes)) {
    spdlog::warn("event=response_refused peer={} call={} bytes={} large_bytes={}", this->instance,
                 call, bytes, this->memory.responses.LargeBytes());
    this->SendCancel(call);  // Ends the transfer.
    this->FinishWithoutResponse(call);
    return;
  }
  this->arriving_replies.try_emplace(
      call, ArrivingReply{std::move(reply), BodyReceiver(bytes, std::move(reservation))});
}

void PeerLink::OnReplyPart(const wire::BodyPart& part) {
  const auto found = this->arriving_replies.find(part.call());
  if (found == this->arriving_replies.end()) {
    return;  // The request was cancelled, or the response refused.
  }
  switch (found->second.body.Append(part.bytes())) {
    case BodyReceiver::Result::kIncomplete:
      break;
    case BodyReceiver::Result::kTooLong:
      spdlog::warn("event=body_part_too_long peer={} call={}", this->instance, part.call());
      this->SendCancel(part.call());
      this->FinishWithoutResponse(part.call());
      break;
    case BodyReceiver::Result::kComplete: {
      wire::ExecutionReply reply = std::move(found->second.reply);
      reply.set_body(found->second.body.TakeBytes());
      this->FinishCall(part.call(), std::move(reply));
      break;
    }
  }
}

void PeerLink::DropTransfers(std::uint64_t call) {
  this->large_requests.erase(call);
  this->body_sender.Cancel(call);
  this->arriving_replies.erase(call);
}

void PeerLink::FinishCall(std::uint64_t call, wire::ExecutionReply reply) {
  this->DropTransfers(call);
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;
  }
  ExecutionObserver* const finished_observer = found->second.observer;
  this->calls.erase(found);
  finished_observer->OnExecutionReply(std::move(reply));
}

void PeerLink::FinishWithoutResponse(std::uint64_t call) {
  wire::ExecutionReply reply;
  reply.set_error(static_cast<std::uint32_t>(ErrorKind::kUpstreamBroken));
  reply.set_reached_instance(true);
  this->FinishCall(call, std::move(reply));
}

void PeerLink::Confirm(std::uint64_t call) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;  // The cancel frame is on its way.
  }
  const TimePoint now = this->clock.Now();
  wire::PeerFrame frame;
  wire::Confirmation& confirmation = *frame.mutable_confirmation();
  confirmation.set_call(call);
  confirmation.set_remaining_us(ToRemainingMicroseconds(found->second.deadline - now));
  confirmation.set_sender_clock_us(ToClockMicroseconds(now));
  this->stream->Send(frame);
}

void PeerLink::OnStreamClosed(std::string_view reason) {
  const Ref<PeerLink> keep(this);
  this->Fail(ErrorKind::kPeerLost, reason);
}

void PeerLink::OnTimer(TimePoint now) {
  const Ref<PeerLink> keep(this);
  if (this->state == State::kConnecting) {
    this->Fail(ErrorKind::kUpstreamUnreachable, "connect timed out");
    return;
  }
  if (this->state != State::kOpen) {
    return;
  }
  this->UpdateContact(now);
  if (this->calls.empty() && now - this->last_cancel >= kCancelTimeout &&
      this->stream->UnacknowledgedBytes() > 0) {
    this->Fail(ErrorKind::kPeerLost, "cancelled requests are not acknowledged");
    return;
  }
  if (this->calls.empty() && now - this->last_sent >= kIdleTimeout) {
    this->Fail(ErrorKind::kPeerLost, "idle");
    return;
  }
  if (this->calls.empty() && !this->silent) {
    this->timers.Schedule(*this, this->last_sent + kIdleTimeout);
    return;
  }
  const Duration silence = now - this->last_contact;
  if (silence < kSilenceBeforeKeepAlive) {
    this->timers.Schedule(*this, this->last_contact + kSilenceBeforeKeepAlive);
    return;
  }
  if (this->stream->HasUnreadBytes()) {
    // The event loop was delayed.
    this->timers.Schedule(*this, now + kUnreadBytesDelay);
    return;
  }
  if (this->keep_alive_pending && now - this->keep_alive_sent < kKeepAliveTimeout) {
    this->timers.Schedule(*this, this->keep_alive_sent + kKeepAliveTimeout);
    return;
  }
  if (this->keep_alive_pending) {
    this->OnSilence(now);
    if (this->state != State::kOpen) {
      return;
    }
  }
  this->SendKeepAlive(now);
}

void PeerLink::SendKeepAlive(TimePoint now) {
  this->keep_alive_pending = true;
  this->keep_alive_sent = now;
  this->acknowledged_at_keep_alive = this->stream->AcknowledgedBytes();
  wire::PeerFrame frame;
  frame.mutable_keep_alive();
  this->stream->Send(frame);
  this->timers.Schedule(*this, now + kKeepAliveTimeout);
}

void PeerLink::UpdateContact(TimePoint now) {
  if (this->stream->ReceivedBytes() == this->received_bytes) {
    return;
  }
  this->received_bytes = this->stream->ReceivedBytes();
  this->last_contact = now;
  this->keep_alive_pending = false;
  if (this->silent) {
    this->silent = false;
    spdlog::info("event=peer_responds peer={} requests={}", this->instance, this->calls.size());
    this->timers.Schedule(*this, now + kSilenceBeforeKeepAlive);
  }
}

void PeerLink::OnSilence(TimePoint now) {
  const bool responds = this->stream->HostResponds(this->acknowledged_at_keep_alive);
  if (!responds && now - this->last_contact >= kHostTimeout) {
    this->Fail(ErrorKind::kPeerLost, "host does not respond");
    return;
  }
  if (!this->silent || this->host_responds != responds) {
    this->silent = true;
    this->host_responds = responds;
    this->ReportSilence(now);
  }
  // An observer may cancel its request and start others.
  std::vector<std::uint64_t> stalled;
  for (const auto& [number, call] : this->calls) {
    if (now - call.sent_at >= kKeepAliveTimeout) {
      stalled.push_back(number);
    }
  }
  for (const std::uint64_t number : stalled) {
    const auto found = this->calls.find(number);
    if (found != this->calls.end()) {
      found->second.observer->OnExecutionStalled();
    }
  }
}

void PeerLink::ReportSilence(TimePoint now) {
  spdlog::warn(
      "event=peer_silent peer={} address={} requests={} silent_ms={} unacknowledged_bytes={} "
      "host_responds={}",
      this->instance, this->address.ToString(), this->calls.size(),
      std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_contact).count(),
      this->stream->UnacknowledgedBytes(), this->host_responds);
  if (!this->retired) {
    this->observer.OnPeerSilent(this->instance, this->host_responds);
  }
}

void PeerLink::ReportLoad(const wire::LoadReport& load) {
  if (!this->retired) {
    this->observer.OnPeerLoad(this->instance, DecodeLoadReport(load));
  }
}

void PeerLink::Fail(ErrorKind kind, std::string_view reason) {
  if (this->state == State::kClosed) {
    return;
  }
  const std::string text(reason);
  if (!this->calls.empty()) {
    spdlog::warn(
        "event=peer_lost peer={} address={} requests={} unacknowledged_bytes={} error={} "
        "reason=\"{}\"",
        this->instance, this->address.ToString(), this->calls.size(),
        this->stream == nullptr ? 0 : this->stream->UnacknowledgedBytes(), GetErrorInfo(kind).name,
        text);
  }
  const std::set<std::uint64_t> undelivered = this->FindUndelivered();
  this->state = State::kClosed;
  this->silent = false;
  this->keep_alive_pending = false;
  this->timers.Cancel(*this);
  this->connecting_socket.reset();
  this->waiting.clear();
  this->large_requests.clear();
  this->body_sender.Clear();
  this->arriving_replies.clear();
  this->accepts_body_parts.reset();
  this->frame_limit = FrameSizeLimit();
  if (this->stream != nullptr) {
    // Nobody waits for the requests that have not arrived.
    this->stream->Abort();
    this->stream.reset();
  }
  if (!this->retired) {
    this->observer.OnPeerClosed(this->instance);
  }
  // An observer may start a new request, which opens the connection again, or cancel another one.
  this->lost_calls.merge(this->calls);
  this->calls.clear();
  while (!this->lost_calls.empty()) {
    const auto first = this->lost_calls.begin();
    ExecutionObserver* const finished_observer = first->second.observer;
    const ErrorKind call_kind =
        undelivered.contains(first->first) ? ErrorKind::kUpstreamUnreachable : kind;
    this->lost_calls.erase(first);
    finished_observer->OnExecutionLost(call_kind, text);
  }
}

std::set<std::uint64_t> PeerLink::FindUndelivered() const {
  std::set<std::uint64_t> undelivered;
  for (const auto& [number, call] : this->calls) {
    if (this->large_requests.contains(number) || this->body_sender.Contains(number)) {
      undelivered.insert(number);
    }
  }
  return undelivered;
}

}  // namespace masticpin
