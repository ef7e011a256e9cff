#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "sidecar/local_executor.h"
#include "sidecar/peer_session.h"
#include "sidecar/tcp_acceptor.h"

namespace masticpin {

/// Accepts connections from peers.
class PeerListener : private TcpAcceptorObserver, private TimerSubscriber {
 public:
  /// All arguments must outlive the listener.
  PeerListener(boost::asio::io_context& loop,
               LocalExecutor& executor,
               std::string local_service,
               CatalogStore& catalog_store,
               MessageMemory& memory,
               const Clock& clock,
               TimerService& timers);
  ~PeerListener() override;

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string Listen(const SocketAddress& address) { return this->acceptor.Listen(address); }

  /// Queries some of the connected peers for their catalog, if this node needs it.
  void RequestCatalog();

  /// Tells all connected peers that this node is about to shut down.
  void AnnounceLeaving();

  bool IsBusy();

 private:
  void OnConnection(boost::asio::ip::tcp::socket socket) override;
  void OnTimer(TimePoint now) override;

  TcpAcceptor acceptor;
  const Clock& clock;
  TimerService& timers;
  LocalExecutor& executor;
  const std::string local_service;
  CatalogStore& catalog_store;
  MessageMemory& memory;
  boost::intrusive::list<PeerSession, boost::intrusive::constant_time_size<false>> sessions;
  /// Ids of calls from peers start here; those of calls from the local router are smaller.
  std::uint64_t next_call_id = std::uint64_t{1} << 62;
  bool leaving = false;
};

}  // namespace masticpin
