#include "sidecar/http_listener.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace masticpin {
namespace {

/// A caller keeps its memory for this time at least while it does not read a response, and while it
/// sends nothing of a body or head that it has begun.
constexpr Duration kMinReadTime = std::chrono::milliseconds(250);
constexpr Duration kMinSendTime = std::chrono::milliseconds(500);

}  // namespace

HttpListener::HttpListener(boost::asio::io_context& loop,
                           HttpHandler& handler,
                           MessageMemory& memory,
                           std::size_t max_connections,
                           const Clock& clock,
                           TimerService& timers)
    : acceptor(loop, *this, clock, timers),
      handler(handler),
      memory(memory),
      max_connections(max_connections),
      clock(clock),
      timers(timers) {}

HttpListener::~HttpListener() {
  while (!this->sessions.empty()) {
    this->sessions.front().Close("process exits");
  }
}

bool HttpListener::IsBusy() {
  return std::any_of(this->sessions.begin(), this->sessions.end(),
                     [](HttpSession& session) { return session.IsBusy(); });
}

void HttpListener::EndBlockingRequests() {
  // A response may end its connection, which leaves the list.
  std::vector<Ref<HttpSession>> open;
  for (HttpSession& session : this->sessions) {
    open.emplace_back(&session);
  }
  for (const Ref<HttpSession>& session : open) {
    session->EndBlockingRequests();
  }
}

void HttpListener::LogUndelivered() const {
  std::size_t responses = 0;
  for (const HttpSession& session : this->sessions) {
    responses += session.UndeliveredResponses();
  }
  if (responses > 0) {
    spdlog::warn("event=responses_undelivered responses={}", responses);
  }
}

bool HttpListener::Reclaim(BodyMemory& body_memory) {
  const TimePoint now = this->clock.Now();
  if (&body_memory == &this->memory.responses) {
    return this->EvictEarliest(&HttpSession::WritingSince, now - kMinReadTime,
                               "response is not read");
  }
  if (&body_memory == &this->memory.requests) {
    return this->EvictEarliest(&HttpSession::BodyStalledSince, now - kMinSendTime,
                               "body does not arrive");
  }
  return this->EvictEarliest(&HttpSession::HeadIncompleteSince, now - kMinSendTime,
                             "head does not arrive");
}

bool HttpListener::EvictEarliest(std::optional<TimePoint> (HttpSession::*since)(),
                                 TimePoint latest,
                                 std::string_view reason) {
  HttpSession* earliest = nullptr;
  for (HttpSession& session : this->sessions) {
    const std::optional<TimePoint> time = (session.*since)();
    if (time && *time < latest) {
      earliest = &session;
      latest = *time;
    }
  }
  if (earliest == nullptr) {
    return false;
  }
  earliest->Evict(reason);
  return true;
}

void HttpListener::OnConnection(boost::asio::ip::tcp::socket socket) {
  if (this->sessions.size() >= this->max_connections) {
    const bool evicted =
        this->EvictEarliest(&HttpSession::IdleSince, this->clock.Now(), "too many connections");
    if (!evicted) {
      spdlog::warn("event=connection_refused connections={}", this->max_connections);
      return;
    }
  }
  boost::system::error_code ignored;  // The connection works without the option.
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const Ref<HttpSession> session(
      new HttpSession(std::move(socket), this->handler, this->memory, this->clock, this->timers));
  this->sessions.push_back(*session);
  session->Start();
}

}  // namespace masticpin
