#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/client_account_table.h"
#include "masticpin/routing/request_limits.h"
#include "masticpin/routing/route.h"
#include "masticpin/routing/service_settings.h"

namespace masticpin {

/// One version of the operator's routes, services and client accounts. Immutable after
/// construction, so that a request keeps the version that was current when it arrived.
class RoutingConfiguration : public RefCounted<RoutingConfiguration> {
 public:
  /// Without `accounts`, requests need no keys.
  RoutingConfiguration(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceSettings> services,
                       const RequestLimits& limits,
                       std::optional<ClientAccountTable> accounts = std::nullopt);

  /// Greater than the versions of all configurations that were accepted before it.
  std::uint64_t Version() const { return this->version; }

  /// Returns the route of `host` with the longest prefix of the path of `target`, or nullptr.
  /// `host` may contain a port; the query of `target` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  /// Returns the settings of a service, or nullptr.
  const ServiceSettings* FindService(std::string_view name) const;

  const std::vector<Route>& Routes() const { return this->routes; }
  const std::vector<ServiceSettings>& Services() const { return this->services; }
  const RequestLimits& Limits() const { return this->limits; }

  /// Whether requests of routes that are not public need the key of a client account.
  bool RequiresKeys() const { return this->accounts.has_value(); }

  /// Returns the client account that holds `key`, or nullptr.
  const ClientAccount* FindAccount(std::string_view key) const {
    return this->accounts ? this->accounts->FindByKey(key) : nullptr;
  }

  /// The client accounts; nullptr if requests need no keys.
  const ClientAccountTable* Accounts() const { return this->accounts ? &*this->accounts : nullptr; }

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using RouteByPrefix = std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>>;

  const std::uint64_t version;
  const std::vector<Route> routes;
  const std::vector<ServiceSettings> services;
  const RequestLimits limits;
  const std::optional<ClientAccountTable> accounts;
  /// Index in `routes` by prefix, for each host.
  std::unordered_map<std::string, RouteByPrefix, StringHash, std::equal_to<>> hosts;
};

}  // namespace masticpin
