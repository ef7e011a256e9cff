#include "sidecar/peer_listener.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>

#include "sidecar/tcp_address.h"

namespace masticpin {
namespace {

/// Pause after accept() failed, usually because the process has no free descriptor.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

/// Nodes that are asked for news at a time.
constexpr int kAskedNodes = 2;

/// Nodes that connect at the same moment; all of a large fleet do so after it was restarted.
constexpr int kBacklog = 1024;

}  // namespace

PeerListener::PeerListener(boost::asio::io_context& loop,
                           LocalExecutor& executor,
                           std::string own_service,
                           DeploymentKnowledge& knowledge,
                           const Clock& clock,
                           TimerService& timers)
    : acceptor(loop),
      executor(executor),
      own_service(std::move(own_service)),
      knowledge(knowledge),
      clock(clock),
      timers(timers) {}

PeerListener::~PeerListener() {
  while (!this->sessions.empty()) {
    this->sessions.front().Close();
  }
}

std::string PeerListener::Listen(const SocketAddress& address) {
  const std::string error = OpenAcceptor(this->acceptor, address, kBacklog);
  if (error.empty()) {
    this->Accept();
  }
  return error;
}

void PeerListener::AskForCatalog() {
  // Two nodes are enough to notice a change within two rounds, also if one of them lags.
  int asked = 0;
  for (PeerSession& session : this->sessions) {
    if (asked++ == kAskedNodes) {
      break;
    }
    session.AskForCatalog();
  }
  // The next round asks others.
  if (!this->sessions.empty()) {
    this->sessions.splice(this->sessions.end(), this->sessions, this->sessions.begin());
  }
}

void PeerListener::AnnounceLeaving() {
  this->leaving = true;
  for (PeerSession& session : this->sessions) {
    session.AnnounceLeaving();
  }
}

bool PeerListener::IsBusy() const {
  return std::any_of(this->sessions.begin(), this->sessions.end(),
                     [](const PeerSession& session) { return session.IsBusy(); });
}

void PeerListener::OnTimer(TimePoint) {
  this->Accept();
}

void PeerListener::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code& error,
                                     boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;  // The listener is stopped or destroyed.
    }
    if (error) {
      spdlog::warn("event=accept_failed reason=\"{}\"", error.message());
      this->timers.Schedule(*this, this->clock.Now() + kAcceptPause);
      return;
    }
    EnableFastLossDetection(socket);
    const Ref<PeerSession> session(new PeerSession(
        std::move(socket), this->executor, this->own_service, this->knowledge, this->next_call));
    this->sessions.push_back(*session);
    session->Start();
    if (this->leaving) {
      session->AnnounceLeaving();
    }
    this->Accept();
  });
}

}  // namespace masticpin
