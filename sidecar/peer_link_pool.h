#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "masticpin/admission/message_memory.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/routing/instance_directory_observer.h"
#include "sidecar/catalog_store.h"
#include "sidecar/peer_link.h"
#include "sidecar/peer_link_observer.h"

namespace masticpin {

/// The connections from this node to its peers.
class PeerLinkPool : public InstanceDirectoryObserver {
 public:
  /// `local_service` is the service of the local instance, `peer_port` the port at which all nodes
  /// of the deployment listen for peers.
  PeerLinkPool(boost::asio::io_context& loop,
               const Clock& clock,
               TimerService& timers,
               PeerLinkObserver& observer,
               const CatalogStore& catalog_store,
               std::string local_service,
               std::uint16_t peer_port,
               MessageMemory& memory);
  ~PeerLinkPool() override;

  /// Returns the connection to the node of an instance, and creates it if there is none. A
  /// connection that is stuck is replaced; its requests in progress are completed on it.
  Ref<PeerLink> GetLink(const UpstreamInstance& instance);

  /// Releases the connection to a previous address of the node.
  void OnInstanceUpdated(const UpstreamInstance& instance) override;
  void OnInstanceRemoved(std::string_view name) override;

 private:
  /// Closes the connection if no request is in progress on it. Otherwise the requests keep it until
  /// they end, and it reports nothing more about the peer.
  static void Release(PeerLink& link);

  boost::asio::io_context& loop;
  const Clock& clock;
  TimerService& timers;
  PeerLinkObserver& observer;
  const CatalogStore& catalog_store;
  const std::string local_service;
  const std::uint16_t peer_port;
  MessageMemory& memory;
  /// Keyed by the name of the instance.
  std::unordered_map<std::string, Ref<PeerLink>> links;
};

}  // namespace masticpin
