#include "sidecar/catalog_codec.h"
#include "masticpin/base/received_duration.h"

#include <algorithm>
#include <utility>

namespace masticpin {
namespace {

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void EncodeAccounts(const RoutingConfiguration& configuration,
                    wire::RoutingConfiguration& message) {
  message.set_describes_accounts(true);
  message.set_requires_keys(configuration.RequiresKeys());
  if (!configuration.RequiresKeys()) {
    return;
  }
  for (const ClientAccount& account : configuration.Accounts()->Accounts()) {
    wire::ClientAccount& encoded = *message.add_accounts();
    encoded.set_name(account.name);
    for (const KeyHash& key : account.keys) {
      encoded.add_key_hashes(std::string(key.Bytes()));
    }
    if (account.urgency_rank) {
      encoded.set_urgency_rank(*account.urgency_rank);
    }
    encoded.set_rate_per_second(account.rate_per_second);
    encoded.set_burst(account.burst);
  }
}

std::optional<ClientAccountTable> DecodeAccounts(const wire::RoutingConfiguration& message) {
  if (!message.requires_keys()) {
    return std::nullopt;
  }
  std::vector<ClientAccount> accounts;
  for (const wire::ClientAccount& encoded : message.accounts()) {
    ClientAccount account;
    account.name = encoded.name();
    for (const std::string& bytes : encoded.key_hashes()) {
      const std::optional<KeyHash> key = KeyHash::FromBytes(bytes);
      if (key) {
        account.keys.push_back(*key);
      }
    }
    if (encoded.has_urgency_rank()) {
      account.urgency_rank = encoded.urgency_rank();
    }
    account.rate_per_second = encoded.rate_per_second();
    account.burst = encoded.burst();
    accounts.push_back(std::move(account));
  }
  return ClientAccountTable(std::move(accounts));
}

}  // namespace

void EncodeConfiguration(const RoutingConfiguration& configuration,
                         wire::RoutingConfiguration& message) {
  message.set_version(configuration.Version());
  for (const Route& route : configuration.Routes()) {
    wire::Route& encoded = *message.add_routes();
    encoded.set_name(route.name);
    encoded.set_host(route.host);
    encoded.set_prefix(route.prefix);
    encoded.set_idempotent(route.idempotent);
    encoded.set_timeout_ms(ToMilliseconds(route.timeout));
    encoded.set_target_latency_ms(ToMilliseconds(route.target_latency));
    encoded.set_attempts(route.attempts);
    encoded.set_urgency_rank(route.urgency_rank);
    encoded.set_is_public(route.is_public);
    for (const RouteDestination& destination : route.destinations) {
      wire::RouteDestination& encoded_destination = *encoded.add_destinations();
      encoded_destination.set_service(destination.service);
      encoded_destination.set_weight(destination.weight);
    }
  }
  for (const ServiceSettings& service : configuration.Services()) {
    wire::ServiceSettings& encoded = *message.add_services();
    encoded.set_name(service.name);
    encoded.set_health_path(service.health_path);
    encoded.set_max_connections(service.max_connections);
  }
  EncodeAccounts(configuration, message);
  message.set_max_header_bytes(configuration.Limits().max_header_bytes);
  message.set_max_body_bytes(configuration.Limits().max_body_bytes);
  message.set_header_timeout_ms(ToMilliseconds(configuration.Limits().header_timeout));
  message.set_idle_timeout_ms(ToMilliseconds(configuration.Limits().idle_timeout));
}

Ref<const RoutingConfiguration> DecodeConfiguration(const wire::RoutingConfiguration& message) {
  std::vector<Route> routes;
  for (const wire::Route& encoded : message.routes()) {
    Route route;
    route.name = encoded.name();
    route.host = encoded.host();
    route.prefix = encoded.prefix();
    route.idempotent = encoded.idempotent();
    route.timeout = ReceivedDuration<std::chrono::milliseconds>(encoded.timeout_ms());
    route.target_latency = ReceivedDuration<std::chrono::milliseconds>(encoded.target_latency_ms());
    route.attempts = std::max(encoded.attempts(), 1U);
    route.urgency_rank = encoded.urgency_rank();
    route.is_public = encoded.is_public();
    for (const wire::RouteDestination& destination : encoded.destinations()) {
      route.destinations.push_back({destination.service(), destination.weight()});
    }
    if (route.destinations.empty()) {
      return nullptr;
    }
    routes.push_back(std::move(route));
  }
  std::vector<ServiceSettings> services;
  for (const wire::ServiceSettings& encoded : message.services()) {
    services.push_back({encoded.name(), encoded.health_path(), encoded.max_connections()});
  }
  RequestLimits limits;
  limits.max_header_bytes = message.max_header_bytes();
  limits.max_body_bytes = message.max_body_bytes();
  limits.header_timeout = ReceivedDuration<std::chrono::milliseconds>(message.header_timeout_ms());
  limits.idle_timeout = ReceivedDuration<std::chrono::milliseconds>(message.idle_timeout_ms());
  return Ref<const RoutingConfiguration>(new RoutingConfiguration(
      message.version(), std::move(routes), std::move(services), limits, DecodeAccounts(message)));
}

void EncodeInstance(const UpstreamInstance& instance, wire::Instance& message) {
  message.set_name(instance.name);
  message.set_service(instance.service);
  message.set_zone(instance.zone);
  message.set_address(instance.address.ToString());
  message.set_incarnation(instance.incarnation);
  message.set_slots(instance.slots);
  message.set_draining(instance.state == InstanceState::kDraining);
  message.set_listed_era(instance.listed_revision.era);
  message.set_listed_revision(instance.listed_revision.number);
  message.set_era(instance.revision.era);
  message.set_revision(instance.revision.number);
}

std::optional<UpstreamInstance> DecodeInstance(const wire::Instance& message) {
  const std::optional<SocketAddress> address = SocketAddress::Parse(message.address());
  if (!address || message.name().empty()) {
    return std::nullopt;
  }
  UpstreamInstance instance;
  instance.name = message.name();
  instance.service = message.service();
  instance.zone = message.zone();
  instance.address = *address;
  instance.incarnation = message.incarnation();
  instance.slots = std::max(message.slots(), 1U);
  instance.state = message.draining() ? InstanceState::kDraining : InstanceState::kReady;
  instance.listed_revision = {message.listed_era(), message.listed_revision()};
  instance.revision = {message.era(), message.revision()};
  return instance;
}

}  // namespace masticpin
