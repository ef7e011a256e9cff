#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>
#include <string>

#include "masticpin/admission/message_memory.h"
#include "masticpin/admission/stop_schedule.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/configuration/version_lag_detector.h"
#include "masticpin/metrics/metrics_registry.h"
#include "masticpin/routing/instance_directory.h"
#include "masticpin/routing/speed_observer.h"
#include "masticpin/routing/zone_aware_load_balancer.h"
#include "masticpin/settings/sidecar_settings.h"
#include "sidecar/account_admission.h"
#include "sidecar/catalog_store.h"
#include "sidecar/connection_limits.h"
#include "sidecar/deployment_observer.h"
#include "sidecar/deployment_source.h"
#include "sidecar/http_listener.h"
#include "sidecar/local_executor.h"
#include "sidecar/loop_timer_service.h"
#include "sidecar/peer_link_observer.h"
#include "sidecar/peer_link_pool.h"
#include "sidecar/peer_listener.h"
#include "sidecar/request_router.h"
#include "sidecar/status_handler.h"

namespace masticpin {

/// The node of one local instance, running on a single event loop.
class SidecarNode : private DeploymentObserver,
                    private CatalogStore,
                    private PeerLinkObserver,
                    private AllotmentExchangeObserver,
                    private LocalExecutorObserver,
                    private SpeedObserver,
                    private TimerSubscriber {
 public:
  /// Reads the settings file again; returns std::nullopt if it is invalid.
  using SettingsReader = std::function<std::optional<SidecarSettings>()>;

  /// All references must outlive the node.
  SidecarNode(boost::asio::io_context& loop,
              const Clock& clock,
              LoopTimerService& timers,
              RandomSource& random,
              const SidecarSettings& settings,
              SettingsReader read_settings,
              DeploymentSource& source);
  ~SidecarNode() override;

  /// Opens all listening sockets. Returns an error message, or an empty string on success.
  std::string Start();

  /// Shuts down the node: it completes the requests in progress and then stops the event loop.
  void Stop();

  /// The requests that the local instance is running.
  const RunningRequestTable& RunningRequests() { return this->executor.RunningRequests(); }

  /// Whether the shutdown is complete.
  bool HasStopped() const { return this->stopped; }

 private:
  void OnConfiguration(Ref<const RoutingConfiguration> configuration) override;
  void OnInstanceList(const std::vector<UpstreamInstance>& list,
                      RegistryRevision revision) override;
  void OnInstanceEntry(const UpstreamInstance& instance) override;
  void OnInstanceEntryMissing(std::string_view name, RegistryRevision revision) override;
  void OnRegistryReturned(RegistryRevision revision) override;
  void OnRegistryUnavailable(std::string_view reason) override;
  void OnRegistryStillUnavailable() override;
  void OnRegistryRecovered(Duration outage) override;
  void OnPeerLoad(std::string_view instance, const LoadReport& load) override;
  void OnPeerConfigurationVersion(std::uint64_t version) override;
  void OnSpeedChanged(std::string_view service,
                      std::string_view instance,
                      double previous,
                      double pace) override;
  void OnPeerLeaving(std::string_view instance) override;
  void OnPeerSilent(std::string_view instance, bool host_responds) override;
  void OnPeerClosed(std::string_view instance) override;
  void FillCatalog(const wire::CatalogRequest& request, wire::Catalog& catalog) const override;
  void ApplyCatalog(const wire::Catalog& catalog) override;
  bool NeedsCatalog(wire::CatalogRequest& request) const override;
  std::uint64_t ConfigurationVersion() const override;
  void OnTimer(TimePoint now) override;

  void WaitForSignal();
  void Reload();
  void OnInstanceStateOutdated() override { this->source.RefreshLocalInstance(); }
  void OnInstanceReplaced(const std::string& name) override { this->source.SetLocalInstance(name); }
  void UpdateLocalInstance(std::string_view source);
  void UpdateReady();
  /// Reads the configuration again if peers have had a newer one for some time.
  void CheckVersionLag(TimePoint now);
  bool IsBusy();
  /// Takes the steps of the shutdown that are due, and stops the event loop at its end.
  void AdvanceStop(TimePoint now);
  void ExportMetrics();
  /// Logs the current load of the local instance and the number of its requests since the last
  /// line.
  void LogLoad();

  boost::asio::io_context& loop;
  const Clock& clock;
  LoopTimerService& timers;
  const SidecarSettings settings;
  const SettingsReader read_settings;
  DeploymentSource& source;
  StopSchedule stop;
  MessageMemory memory;
  const ConnectionLimits connections;
  boost::asio::signal_set signals;

  MetricsRegistry metrics;
  InstanceDirectory directory;
  ZoneAwareLoadBalancer balancer;
  PeerLinkPool peers;
  LocalExecutor executor;
  AccountAdmission accounts;
  RequestRouter router;
  StatusHandler status;
  HttpListener request_listener;
  HttpListener ready_listener;
  HttpListener metrics_listener;
  PeerListener peer_listener;

  bool registry_unavailable = false;
  VersionLagDetector version_lag;
  bool stopped = false;
  /// Whether the local instance gets no more requests because the node is shutting down.
  bool executor_draining = false;
  /// Whether connections of callers are no longer accepted.
  bool callers_stopped = false;
  std::uint32_t ticks = 0;
  LocalExecutorStatistics logged_statistics;
};

}  // namespace masticpin
