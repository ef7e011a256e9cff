#include "sidecar/peer_listener.h"

#include <algorithm>
#include <utility>

#include "sidecar/tcp_address.h"

namespace masticpin {
namespace {

/// Number of peers that are queried for their catalog at a time.
constexpr int kCatalogRequestFanout = 2;

/// Interval at which the connections are checked for peers that are cut off.
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(250);

}  // namespace

PeerListener::PeerListener(boost::asio::io_context& loop,
                           LocalExecutor& executor,
                           std::string local_service,
                           CatalogStore& catalog_store,
                           MessageMemory& memory,
                           const Clock& clock,
                           TimerService& timers)
    : acceptor(loop, *this, clock, timers),
      clock(clock),
      timers(timers),
      executor(executor),
      local_service(std::move(local_service)),
      catalog_store(catalog_store),
      memory(memory) {}

PeerListener::~PeerListener() {
  while (!this->sessions.empty()) {
    this->sessions.front().Close();
  }
}

void PeerListener::RequestCatalog() {
  // Two peers are enough to notice a change within two rounds, even if one of them lags behind.
  int queried_peers = 0;
  for (PeerSession& session : this->sessions) {
    if (queried_peers++ == kCatalogRequestFanout) {
      break;
    }
    session.RequestCatalog();
  }
  // Rotate the list by one, so that the next round queries another peer.
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

bool PeerListener::IsBusy() {
  return std::any_of(this->sessions.begin(), this->sessions.end(),
                     [](PeerSession& session) { return session.IsBusy(); });
}

void PeerListener::OnConnection(boost::asio::ip::tcp::socket socket) {
  EnableDeadPeerDetection(socket);
  if (this->sessions.empty()) {
    this->timers.Schedule(*this, this->clock.Now() + kPeerCheckInterval);
  }
  const Ref<PeerSession> session(
      new PeerSession(std::move(socket), this->executor, this->local_service, this->catalog_store,
                      this->memory, this->next_call_id, this->clock, this->timers));
  this->sessions.push_back(*session);
  session->Start();
  if (this->leaving) {
    session->AnnounceLeaving();
  }
}

void PeerListener::OnTimer(TimePoint now) {
  for (auto it = this->sessions.begin(); it != this->sessions.end();) {
    PeerSession& session = *it++;  // A session that closes leaves the list.
    session.CheckPeer(now);
  }
  if (!this->sessions.empty()) {
    this->timers.Schedule(*this, now + kPeerCheckInterval);
  }
}

}  // namespace masticpin
