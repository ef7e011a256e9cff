#include "masticpin/routing/routing_configuration.h"

#include <algorithm>
#include <utility>

namespace masticpin {
namespace {

/// Returns the host in lower case and without its port. Host names are compared without regard to
/// case (RFC 9110, section 4.2.3).
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  for (char& c : normalized) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return normalized;
}

}  // namespace

RoutingConfiguration::RoutingConfiguration(std::uint64_t version,
                                           std::vector<Route> routes,
                                           std::vector<ServiceSettings> services,
                                           const RequestLimits& limits,
                                           std::optional<ClientAccountTable> accounts)
    : version(version),
      routes(std::move(routes)),
      services(std::move(services)),
      limits(limits),
      accounts(std::move(accounts)) {
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const Route& route = this->routes[i];
    this->hosts[NormalizeHost(route.host)].emplace(route.prefix, i);
  }
}

const Route* RoutingConfiguration::FindRoute(std::string_view host, std::string_view target) const {
  const auto routes_of_host = this->hosts.find(NormalizeHost(host));
  if (routes_of_host == this->hosts.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only the leading parts of the path that end with a slash can
  // match.
  std::string_view path = target.substr(0, target.find('?'));
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto found = routes_of_host->second.find(path);
    if (found != routes_of_host->second.end()) {
      return &this->routes[found->second];
    }
    path.remove_suffix(1);
  }
}

const ServiceSettings* RoutingConfiguration::FindService(std::string_view name) const {
  const auto found =
      std::find_if(this->services.begin(), this->services.end(),
                   [&](const ServiceSettings& service) { return service.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

}  // namespace masticpin
