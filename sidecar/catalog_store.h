#pragma once

#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// This node's view of the deployment (configuration and instances), for exchange with peers.
class CatalogStore {
 public:
  virtual ~CatalogStore() = default;

  /// Fills `catalog` for a peer that cannot read the registry or has no configuration: with all
  /// known instances, and with the configuration if it is newer than the one named in `request`.
  virtual void FillCatalog(const wire::CatalogRequest& request, wire::Catalog& catalog) const = 0;

  /// Applies those entries of a peer's catalog that are newer than the local ones.
  virtual void ApplyCatalog(const wire::Catalog& catalog) = 0;

  /// Fills `request` for a query to peers. Returns false if no query is needed because the registry
  /// is available and a configuration is known.
  virtual bool NeedsCatalog(wire::CatalogRequest& request) const = 0;

  /// Version of the configuration in force; 0 if there is none.
  virtual std::uint64_t ConfigurationVersion() const = 0;

  /// Called with the version of the configuration that a peer has in force.
  virtual void OnPeerConfigurationVersion(std::uint64_t version) = 0;
};

}  // namespace masticpin
