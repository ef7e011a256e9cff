#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "masticpin/admission/entry_throttle.h"
#include "masticpin/admission/stop_schedule.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/metrics/metrics_registry.h"
#include "masticpin/routing/instance_directory.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/zone_aware_load_balancer.h"
#include "sidecar/account_admission.h"
#include "sidecar/http_dialect.h"
#include "sidecar/http_handler.h"
#include "sidecar/local_executor.h"
#include "sidecar/peer_link_pool.h"
#include "sidecar/request_executor.h"
#include "sidecar/unfinished_request.h"

namespace masticpin {

class RoutedRequest;

struct RequestRouterSettings {
  /// Service of the local instance.
  std::string service;
  /// Address of the local instance, whose requests are executed without a connection to a peer.
  SocketAddress upstream_address;
  /// Maximum size of a request body, if the configuration allows more. All bodies in progress
  /// together may not take more memory.
  std::size_t max_body_bytes = std::size_t{64} << 20;
  /// See SidecarSettings.
  double minimum_share = 0;
  /// Whether requests ask for the work time of their route.
  bool learn_speed = false;
};

/// Handles the requests that originate on this machine, those of callers and the inner calls of the
/// local instance, until each has its response.
class RequestRouter : public HttpHandler {
 public:
  using Settings = RequestRouterSettings;

  /// All arguments must outlive the router.
  RequestRouter(const Settings& settings,
                const HttpDialect& dialect,
                const Clock& clock,
                TimerService& timers,
                RandomSource& random,
                const InstanceDirectory& directory,
                ZoneAwareLoadBalancer& balancer,
                PeerLinkPool& peers,
                LocalExecutor& executor,
                AccountAdmission& accounts,
                const StopSchedule& stop,
                MetricsRegistry& metrics);
  ~RequestRouter() override;

  void OnRequest(Ref<HttpExchange> exchange) override;
  RequestLimits Limits() const override;
  bool IsDraining() const override { return this->stop.IsStopping(); }

  /// Applies a configuration. Requests in progress keep the one that they started with.
  void SetConfiguration(Ref<const RoutingConfiguration> new_configuration);

  /// The current configuration; nullptr while there is none.
  const RoutingConfiguration* Configuration() const { return this->configuration.get(); }

  /// The version of the current configuration; 0 while there is none.
  std::uint64_t ConfigurationVersion() const;

  /// Records that the settings were read again.
  void OnSettingsReloaded() { this->reloaded_at = this->clock.Now(); }

  /// Number of requests that were refused because of the allotment of their account.
  std::uint64_t RequestsOverAllotment() const { return this->requests_over_allotment; }

  bool IsBusy() const { return !this->unfinished_requests.empty(); }

  /// Logs the requests that have no answer and are cut off by the exit of the process.
  void LogUnfinished() const;

 private:
  friend class RoutedRequest;

  EntryThrottle& GetThrottle(const Route& route);
  /// Counts a response. Caches the counters, so that the metrics registry is searched once per
  /// status.
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
  AccountAdmission& accounts;
  const StopSchedule& stop;
  MetricsRegistry& metrics;
  LatencyHistogram& latency;
  std::unordered_map<int, Counter*> response_counters;

  Ref<const RoutingConfiguration> configuration;
  /// When the current configuration came in force and the settings were last read again, for the
  /// log.
  std::optional<TimePoint> configured_at;
  std::optional<TimePoint> reloaded_at;
  /// Keyed by route name. The throttle of a route is dropped with the next configuration that does
  /// not contain the route.
  std::map<std::string, EntryThrottle, std::less<>> throttles;
  std::uint64_t next_call_id = 1;
  std::uint64_t requests_over_allotment = 0;
  boost::intrusive::list<UnfinishedRequest, boost::intrusive::constant_time_size<false>>
      unfinished_requests;
};

}  // namespace masticpin
