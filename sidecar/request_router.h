#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "masticpin/admission/entry_throttle.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/metrics/metrics_registry.h"
#include "masticpin/routing/instance_directory.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/zone_aware_load_balancer.h"
#include "sidecar/http_dialect.h"
#include "sidecar/http_handler.h"
#include "sidecar/local_executor.h"
#include "sidecar/peer_link_pool.h"
#include "sidecar/request_executor.h"

namespace masticpin {

class RoutedRequest;

struct RequestRouterSettings {
  /// Service of the own instance.
  std::string service;
  /// Address of the own instance; its node executes without a connection.
  SocketAddress upstream_address;
  /// Bytes of request bodies in progress above which new requests are refused.
  std::size_t max_body_bytes_in_progress = std::size_t{32} << 20;
};

/// Takes the requests that begin on this machine, those of callers and the calls of the own
/// instance, and brings each to its end.
class RequestRouter : public HttpHandler {
 public:
  using Settings = RequestRouterSettings;

  /// All arguments must outlive the origin.
  RequestRouter(const Settings& settings,
                const HttpDialect& dialect,
                const Clock& clock,
                TimerService& timers,
                RandomSource& random,
                const InstanceDirectory& directory,
                ZoneAwareLoadBalancer& balancer,
                PeerLinkPool& peers,
                LocalExecutor& executor,
                MetricsRegistry& metrics);
  ~RequestRouter() override;

  void OnRequest(Ref<HttpExchange> exchange) override;
  RequestLimits Limits() const override;
  bool IsDraining() const override { return this->draining; }

  /// Takes over a configuration. Requests in progress keep theirs.
  void SetConfiguration(Ref<const RoutingConfiguration> new_configuration);

  /// The configuration in force; nullptr while there is none.
  const RoutingConfiguration* Configuration() const { return this->configuration.get(); }

  /// The version in force; 0 while there is none.
  std::uint64_t ConfigurationVersion() const;

  /// Connections are closed after their next response from now on.
  void Drain() { this->draining = true; }

  bool IsBusy() const { return this->requests_in_progress > 0; }

 private:
  friend class RoutedRequest;

  EntryThrottle& GetThrottle(const Route& route);
  /// Counts an answer. The registry of the metrics is asked once for each status only.
  void CountResponse(int status);

  const Settings settings;
  const HttpDialect& dialect;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  const InstanceDirectory& directory;
  ZoneAwareLoadBalancer& balancer;
  PeerLinkPool& peers;
  LocalExecutor& executor;
  MetricsRegistry& metrics;
  LatencyHistogram& latency;
  std::unordered_map<int, Counter*> response_counters;

  Ref<const RoutingConfiguration> configuration;
  /// By route name. Routes come and go with the configuration; their throttles are dropped with the
  /// next one that does not name them.
  std::map<std::string, EntryThrottle, std::less<>> throttles;
  std::uint64_t next_call_id = 1;
  std::uint32_t requests_in_progress = 0;
  std::size_t body_bytes_in_progress = 0;
  bool draining = false;
};

}  // namespace masticpin
