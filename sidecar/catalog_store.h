#pragma once

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// What this node knows of the deployment, for exchange with other nodes.
class CatalogStore {
 public:
  virtual ~CatalogStore() = default;

  /// Answers another node that cannot read the registry.
  virtual void FillCatalog(const wire::CatalogRequest& request, wire::Catalog& catalog) const = 0;

  /// Takes over what another node knows, as far as it is newer.
  virtual void ApplyCatalog(const wire::Catalog& catalog) = 0;

  /// Returns the request to send to other nodes, or false if the registry answers this node.
  virtual bool NeedsCatalog(wire::CatalogRequest& request) const = 0;
};

}  // namespace masticpin
