#include "sidecar/peer_link_pool.h"

#include <utility>

namespace masticpin {

PeerLinkPool::PeerLinkPool(boost::asio::io_context& loop,
                           const Clock& clock,
                           TimerService& timers,
                           PeerLinkObserver& observer,
                           const CatalogStore& catalog_store,
                           std::string local_service,
                           std::uint16_t peer_port,
                           MessageMemory& memory)
    : loop(loop),
      clock(clock),
      timers(timers),
      observer(observer),
      catalog_store(catalog_store),
      local_service(std::move(local_service)),
      peer_port(peer_port),
      memory(memory) {}

PeerLinkPool::~PeerLinkPool() {
  for (const auto& [name, link] : this->links) {
    link->Close();
  }
}

Ref<PeerLink> PeerLinkPool::GetLink(const UpstreamInstance& instance) {
  const SocketAddress address{instance.address.ip, this->peer_port};
  Ref<PeerLink>& link = this->links[instance.name];
  if (link != nullptr && link->IsStuck()) {
    Release(*link);
    link.reset();
  }
  if (link == nullptr) {
    link = Ref<PeerLink>(new PeerLink(this->loop, this->clock, this->timers, this->observer,
                                      this->catalog_store, instance.name, instance.service,
                                      this->local_service, address, this->memory));
  }
  return link;
}

void PeerLinkPool::OnInstanceUpdated(const UpstreamInstance& instance) {
  const auto found = this->links.find(instance.name);
  if (found != this->links.end() && found->second->Address().ip != instance.address.ip) {
    Release(*found->second);
    this->links.erase(found);
  }
}

void PeerLinkPool::OnInstanceRemoved(std::string_view name) {
  const auto found = this->links.find(std::string(name));
  if (found == this->links.end()) {
    return;
  }
  Release(*found->second);
  this->links.erase(found);
}

void PeerLinkPool::Release(PeerLink& link) {
  if (link.HasRequests()) {
    link.Retire();
  } else {
    link.Close();
  }
}

}  // namespace masticpin
