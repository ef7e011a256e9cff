#include "sidecar/sidecar_node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <utility>

#include "sidecar/catalog_codec.h"
#include "sidecar/http_client_settings.h"

namespace masticpin {
namespace {

/// Interval at which the node checks whether a shutdown is complete, and does its periodic work.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);

/// The same while the node is shutting down.
constexpr Duration kStopTickInterval = std::chrono::milliseconds(50);

/// The load is logged every two seconds, so that the log explains a load surge with that
/// resolution.
constexpr std::uint32_t kTicksPerLoadLine = 8;

/// While the registry is unavailable, peers are queried once per second.
constexpr std::uint32_t kTicksPerCatalogRequest = 4;

/// Share of the memory that the large bodies of requests may take, and the same for those of
/// responses.
constexpr std::size_t kBodyMemoryDivisor = 8;

/// Share of the memory that all of them may take together with oversized bodies, and the part of it
/// that is left to those that are not oversized. Large bodies are passed on without copies, so that
/// half of the memory is left for the rest.
constexpr std::size_t kBodyPoolDivisor = 2;
constexpr std::size_t kOrdinaryPoolDivisor = 16;

/// Share of the memory that is reserved for the small bodies of requests.
constexpr std::size_t kSmallBodyMemoryDivisor = 32;

/// Share of the memory that the heads of requests in progress may take, and the same for bytes of
/// callers that are not parsed yet. Small ones have a share of their own, as those of bodies.
constexpr std::size_t kHeadMemoryDivisor = 16;
constexpr std::size_t kSmallHeadBytes = std::size_t{16} << 10;

/// Added to the share of large bodies, so that a body of the maximum size fits together with its
/// head where a whole frame or response is counted.
constexpr std::size_t kMaxHeadBytes = std::size_t{128} << 10;

BodyMemorySettings MakeBodyMemorySettings(const SidecarSettings& settings) {
  BodyMemorySettings memory;
  memory.large_share_bytes = (settings.memory_mb << 20) / kBodyMemoryDivisor + kMaxHeadBytes;
  memory.small_share_bytes = (settings.memory_mb << 20) / kSmallBodyMemoryDivisor;
  return memory;
}

BodyMemorySettings MakeHeadMemorySettings(const SidecarSettings& settings) {
  BodyMemorySettings memory = MakeBodyMemorySettings(settings);
  memory.max_small_body_bytes = kSmallHeadBytes;
  memory.large_share_bytes = (settings.memory_mb << 20) / kHeadMemoryDivisor;
  return memory;
}

BodyMemoryPoolSettings MakePoolSettings(const SidecarSettings& settings) {
  BodyMemoryPoolSettings pool;
  pool.max_bytes = (settings.memory_mb << 20) / kBodyPoolDivisor;
  pool.max_oversized_bytes = pool.max_bytes - (settings.memory_mb << 20) / kOrdinaryPoolDivisor;
  return pool;
}

/// Maximum size of a single body that the memory allows. A response is counted with its head.
std::size_t MaxBodyBytes(const SidecarSettings& settings) {
  return MakePoolSettings(settings).max_oversized_bytes - kMaxHeadBytes;
}

RequestRouterSettings MakeRouterSettings(const SidecarSettings& settings) {
  RequestRouterSettings router;
  router.service = settings.service;
  router.learn_speed = settings.learn_speed;
  router.upstream_address = settings.upstream_address;
  router.max_body_bytes = MaxBodyBytes(settings);
  router.minimum_share = settings.minimum_share;
  return router;
}

ZoneAwareLoadBalancerSettings MakeBalancerSettings(const SidecarSettings& settings) {
  ZoneAwareLoadBalancerSettings balancer;
  balancer.learn_speed = settings.learn_speed;
  return balancer;
}

StopScheduleSettings MakeStopSettings(const SidecarSettings& settings) {
  StopScheduleSettings stop;
  stop.stop_time = settings.stop_time;
  return stop;
}

HttpClientSettings MakeResponseSettings(const SidecarSettings& settings, MessageMemory& memory) {
  HttpClientSettings responses;
  responses.max_body_bytes = std::min(responses.max_body_bytes, MaxBodyBytes(settings));
  responses.memory = &memory.responses;
  return responses;
}

}  // namespace

SidecarNode::SidecarNode(boost::asio::io_context& loop,
                         const Clock& clock,
                         LoopTimerService& timers,
                         RandomSource& random,
                         const SidecarSettings& settings,
                         SettingsReader read_settings,
                         DeploymentSource& source)
    : loop(loop),
      clock(clock),
      timers(timers),
      settings(settings),
      read_settings(std::move(read_settings)),
      source(source),
      stop(MakeStopSettings(settings)),
      memory{BodyMemoryPool(MakePoolSettings(settings)),
             BodyMemory(MakeBodyMemorySettings(settings), &this->memory.pool),
             BodyMemory(MakeBodyMemorySettings(settings), &this->memory.pool),
             BodyMemory(MakeHeadMemorySettings(settings)),
             BodyMemory(MakeHeadMemorySettings(settings))},
      connections(ReadConnectionLimits(settings.memory_mb << 20)),
      signals(loop, SIGTERM, SIGINT, SIGHUP),
      directory(settings.upstream_address, settings.service),
      balancer(settings.zone, clock, random, MakeBalancerSettings(settings), this),
      peers(loop,
            clock,
            timers,
            *this,
            *this,
            settings.service,
            settings.peer_address.port,
            this->memory),
      executor(loop,
               clock,
               timers,
               random,
               source.Dialect(),
               settings.upstream_address,
               MakeResponseSettings(settings, this->memory),
               settings.retries,
               this->stop,
               *this,
               settings.learn_speed),
      accounts(loop,
               clock,
               timers,
               random,
               *this,
               settings.upstream_address,
               settings.allotment_tolerance),
      router(MakeRouterSettings(settings),
             source.Dialect(),
             clock,
             timers,
             random,
             this->directory,
             this->balancer,
             this->peers,
             this->executor,
             this->accounts,
             this->stop,
             this->metrics),
      status(source.Dialect().ready_path, this->metrics, [this] { this->ExportMetrics(); }),
      request_listener(loop,
                       this->router,
                       this->memory,
                       this->connections.max_callers,
                       clock,
                       timers),
      ready_listener(loop,
                     this->status,
                     this->memory,
                     this->connections.max_observers,
                     clock,
                     timers),
      metrics_listener(loop,
                       this->status,
                       this->memory,
                       this->connections.max_observers,
                       clock,
                       timers),
      peer_listener(loop, this->executor, settings.service, *this, this->memory, clock, timers) {
  this->memory.requests.SetReclaimer(&this->request_listener);
  this->memory.responses.SetReclaimer(&this->request_listener);
  this->memory.unparsed.SetReclaimer(&this->request_listener);
  this->directory.AddObserver(this->balancer);
  this->directory.AddObserver(this->peers);
  this->directory.AddObserver(this->accounts.DirectoryObserver());
}

SidecarNode::~SidecarNode() {
  for (BodyMemory* account :
       {&this->memory.requests, &this->memory.responses, &this->memory.unparsed}) {
    account->SetReclaimer(nullptr);
  }
}

std::string SidecarNode::Start() {
  for (const auto& [listener, address] :
       {std::pair(&this->request_listener, &this->settings.request_address),
        std::pair(&this->ready_listener, &this->settings.ready_address),
        std::pair(&this->metrics_listener, &this->settings.metrics_address)}) {
    const std::string error = listener->Listen(*address);
    if (!error.empty()) {
      return error;
    }
  }
  for (const std::string& error : {this->peer_listener.Listen(this->settings.peer_address),
                                   this->accounts.Listen(this->settings.allotment_address)}) {
    if (!error.empty()) {
      return error;
    }
  }
  spdlog::info("event=node_started name={} service={} zone={} request_address={} peer_address={}",
               this->settings.name, this->settings.service, this->settings.zone,
               this->settings.request_address.ToString(), this->settings.peer_address.ToString());
  this->WaitForSignal();
  this->timers.Schedule(*this, this->clock.Now() + kTickInterval);
  this->executor.Start();
  this->source.Start(*this);
  return "";
}

void SidecarNode::Stop() {
  if (this->stop.IsStopping()) {
    return;
  }
  this->stop.Begin(this->clock.Now());
  spdlog::info("event=node_stopping name={} busy={}", this->settings.name, this->IsBusy());
  this->UpdateReady();
}

void SidecarNode::WaitForSignal() {
  this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;  // The event loop is stopping.
    }
    if (signal == SIGHUP) {
      this->Reload();
    } else {
      this->Stop();
    }
    this->WaitForSignal();
  });
}

void SidecarNode::Reload() {
  const std::optional<SidecarSettings> read = this->read_settings();
  if (!read) {
    spdlog::error("event=settings_not_reloaded reason=\"the settings file is invalid\"");
    return;
  }
  spdlog::set_level(spdlog::level::from_str(read->log_level));
  this->executor.SetRetries(read->retries);
  this->router.OnSettingsReloaded();
  spdlog::info("event=settings_reloaded log_level={} retry_ratio={} retry_slack={}",
               read->log_level, read->retries.ratio, read->retries.slack);
}

void SidecarNode::OnConfiguration(Ref<const RoutingConfiguration> configuration) {
  if (configuration->Version() <= this->router.ConfigurationVersion()) {
    return;
  }
  spdlog::info("event=configuration_in_force version={} previous={} routes={} services={}",
               configuration->Version(), this->router.ConfigurationVersion(),
               configuration->Routes().size(), configuration->Services().size());
  this->directory.SetServices(configuration->Services());
  // A service may answer with what it accepts.
  this->executor.SetMaxResponseBodyBytes(std::min(
      std::max(HttpClientSettings().max_body_bytes, configuration->Limits().max_body_bytes),
      MaxBodyBytes(this->settings)));
  this->router.SetConfiguration(std::move(configuration));
  this->UpdateReady();
}

void SidecarNode::OnInstanceList(const std::vector<UpstreamInstance>& list,
                                 RegistryRevision revision) {
  this->directory.ApplyList(list, revision, this->clock.Now());
  this->UpdateLocalInstance("list");
  this->UpdateReady();
}

void SidecarNode::OnInstanceEntry(const UpstreamInstance& instance) {
  this->directory.Apply(instance);
  this->UpdateLocalInstance("entry");
  this->executor.OnInstanceStateRead();
}

void SidecarNode::OnInstanceEntryMissing(std::string_view name, RegistryRevision revision) {
  if (!this->directory.ApplyMissing(name, revision, this->clock.Now())) {
    spdlog::info("event=removal_suspended instance={} revision={}", name, revision.ToString());
  }
  this->UpdateLocalInstance("entry");
  this->executor.OnInstanceStateRead();
}

void SidecarNode::OnRegistryReturned(RegistryRevision revision) {
  spdlog::info("event=registry_era_began era={} revision={}", revision.era, revision.number);
  this->directory.OnRegistryReturned(revision, this->clock.Now());
}

void SidecarNode::OnRegistryUnavailable(std::string_view reason) {
  spdlog::warn("event=registry_lost reason=\"{}\"", reason);
  this->registry_unavailable = true;
  this->directory.OnRegistryUnavailable(this->clock.Now());
}

void SidecarNode::OnRegistryStillUnavailable() {
  this->directory.OnRegistryUnavailable(this->clock.Now());
}

void SidecarNode::OnRegistryRecovered(Duration outage) {
  spdlog::info("event=registry_regained outage_ms={}",
               std::chrono::duration_cast<std::chrono::milliseconds>(outage).count());
  this->registry_unavailable = false;
  this->directory.OnRegistryRecovered(outage);
}

void SidecarNode::OnPeerLoad(std::string_view instance, const LoadReport& load) {
  this->balancer.OnLoad(instance, load);
}

void SidecarNode::OnSpeedChanged(std::string_view service,
                                 std::string_view instance,
                                 double previous,
                                 double pace) {
  spdlog::info("event=speed_changed service={} instance={} pace={:.2f} previous={:.2f}", service,
               instance, pace, previous);
}

void SidecarNode::OnPeerConfigurationVersion(std::uint64_t version) {
  this->version_lag.OnPeerVersion(version, this->ConfigurationVersion(), this->clock.Now());
}

void SidecarNode::OnPeerLeaving(std::string_view instance) {
  spdlog::info("event=peer_leaving instance={}", instance);
  this->balancer.OnNodeLeaving(instance);
}

void SidecarNode::OnPeerSilent(std::string_view instance, bool host_responds) {
  this->balancer.OnNodeSilent(instance, host_responds);
}

void SidecarNode::OnPeerClosed(std::string_view instance) {
  this->balancer.OnNodeClosed(instance);
}

void SidecarNode::FillCatalog(const wire::CatalogRequest& request, wire::Catalog& catalog) const {
  const RoutingConfiguration* configuration = this->router.Configuration();
  if (configuration != nullptr && configuration->Version() > request.configuration_version()) {
    EncodeConfiguration(*configuration, *catalog.mutable_configuration());
  }
  catalog.set_era(this->directory.EraStart().era);
  catalog.set_era_start(this->directory.EraStart().number);
  this->directory.ForEach([&catalog](const UpstreamInstance& instance) {
    EncodeInstance(instance, *catalog.add_instances());
  });
}

void SidecarNode::ApplyCatalog(const wire::Catalog& catalog) {
  if (catalog.has_configuration()) {
    const Ref<const RoutingConfiguration> configuration =
        DecodeConfiguration(catalog.configuration());
    // An older node leaves out the accounts, and every request would then run without a key.
    const RoutingConfiguration* known = this->router.Configuration();
    const bool expects_accounts =
        this->settings.allotment_address.has_value() || (known != nullptr && known->RequiresKeys());
    if (configuration == nullptr ||
        (expects_accounts && !catalog.configuration().describes_accounts())) {
      spdlog::warn("event=catalog_refused version={}", catalog.configuration().version());
    } else {
      this->OnConfiguration(configuration);
    }
  }
  std::vector<UpstreamInstance> instances;
  for (const wire::Instance& encoded : catalog.instances()) {
    std::optional<UpstreamInstance> instance = DecodeInstance(encoded);
    if (instance) {
      instances.push_back(std::move(*instance));
    }
  }
  if (!instances.empty()) {
    this->directory.ObserveEra({catalog.era(), catalog.era_start()});
    this->directory.ApplyEntries(instances);
    this->UpdateLocalInstance("peer");
    this->UpdateReady();
  }
}

bool SidecarNode::NeedsCatalog(wire::CatalogRequest& request) const {
  const std::uint64_t version = this->ConfigurationVersion();
  request.set_configuration_version(version);
  return this->registry_unavailable || version == 0 ||
         this->version_lag.IsBehind(version, this->clock.Now());
}

std::uint64_t SidecarNode::ConfigurationVersion() const {
  return this->router.ConfigurationVersion();
}

void SidecarNode::CheckVersionLag(TimePoint now) {
  const std::uint64_t version = this->ConfigurationVersion();
  if (this->version_lag.TryStartRead(version, now)) {
    spdlog::warn("event=configuration_behind version={} peer_version={}", version,
                 this->version_lag.PeerVersion());
    this->source.RefreshConfiguration();
  }
}

void SidecarNode::UpdateLocalInstance(std::string_view source) {
  const UpstreamInstance* local_entry =
      this->directory.FindByAddress(this->settings.upstream_address);
  this->executor.SetInstance(local_entry, source);
  this->executor.SetInstanceCount(this->balancer.CountInstances(this->settings.service));
}

void SidecarNode::UpdateReady() {
  const bool ready = this->router.ConfigurationVersion() != 0 && this->directory.IsPopulated() &&
                     !this->stop.IsStopping();
  if (ready != this->status.IsReady()) {
    spdlog::info("event={} version={} instances={}", ready ? "ready" : "not_ready",
                 this->router.ConfigurationVersion(), this->directory.Size());
  }
  this->status.SetReady(ready);
}

bool SidecarNode::IsBusy() {
  return this->router.IsBusy() || this->executor.IsBusy() || this->peer_listener.IsBusy() ||
         this->request_listener.IsBusy();
}

void SidecarNode::OnTimer(TimePoint now) {
  this->timers.Schedule(*this, now + (this->stop.IsStopping() ? kStopTickInterval : kTickInterval));
  if (++this->ticks % kTicksPerLoadLine == 0) {
    this->LogLoad();
  }
  if (this->ticks % kTicksPerCatalogRequest == 0) {
    this->peer_listener.RequestCatalog();
  }
  if (this->directory.ApplySuspendedRemovals(now)) {
    this->UpdateLocalInstance("entry");
  }
  this->CheckVersionLag(now);
  if (this->stop.IsStopping()) {
    this->AdvanceStop(now);
  }
}

void SidecarNode::AdvanceStop(TimePoint now) {
  if (!this->executor_draining && this->stop.IsExecutionOver(now)) {
    // From now on the local instance gets no new requests. It keeps running, and its requests in
    // progress are completed.
    this->executor_draining = true;
    this->executor.Drain();
    this->peer_listener.AnnounceLeaving();
  }
  // Connections that were accepted last get one more tick, in which their requests are read.
  const bool done = this->callers_stopped && !this->IsBusy();
  // Requests that the local instance still runs may make inner calls on new connections.
  if (this->stop.IsMinDurationOver(now) && !this->executor.IsBusy()) {
    this->callers_stopped = true;
    // Callers without another machine keep sending requests. They would keep the process running,
    // and thus the capacity of the instance unavailable, until the end of the stop time.
    this->request_listener.Stop();
  }
  if (this->stop.IsDeliveryDue(now)) {
    this->request_listener.EndBlockingRequests();
  }
  if (done || this->stop.MustExit(now)) {
    spdlog::info("event=node_stopped name={} busy={}", this->settings.name, this->IsBusy());
    this->request_listener.LogUndelivered();
    this->router.LogUnfinished();
    this->executor.LogUnfinished();
    this->stopped = true;
    this->loop.stop();
  }
}

void SidecarNode::LogLoad() {
  const LocalExecutorStatistics& done = this->executor.Statistics();
  if (done.offered == this->logged_statistics.offered) {
    return;
  }
  const LoadReport load = this->executor.GetLoad();
  spdlog::info(
      "event=load limit={} in_flight={} queued={} threshold={} offered={} started={} refused={} "
      "shed={} broken={} repeats_granted={} repeats_denied={}",
      load.limit, load.in_flight, load.queued, load.threshold,
      done.offered - this->logged_statistics.offered,
      done.started - this->logged_statistics.started,
      done.refused - this->logged_statistics.refused, done.shed - this->logged_statistics.shed,
      done.broken - this->logged_statistics.broken,
      done.retries_granted - this->logged_statistics.retries_granted,
      done.retries_denied - this->logged_statistics.retries_denied);
  this->logged_statistics = done;
}

void SidecarNode::ExportMetrics() {
  const LocalExecutorStatistics& done = this->executor.Statistics();
  const LoadReport load = this->executor.GetLoad();
  const auto set = [this](std::string_view name, std::string_view help, std::uint64_t value) {
    this->metrics.GetGauge(name, help).Set(static_cast<std::int64_t>(value));
  };
  set("masticpin_configuration_version", "Version of the configuration in force.",
      this->router.ConfigurationVersion());
  set("masticpin_instances", "Instances that the node knows.", this->directory.Size());
  set("masticpin_limit", "Requests that the upstream may have now.", load.limit);
  set("masticpin_in_flight", "Requests at the upstream.", load.in_flight);
  set("masticpin_queued", "Requests that wait for the upstream.", load.queued);
  set("masticpin_executions_offered", "Requests offered to the upstream since the start.",
      done.offered);
  set("masticpin_executions_started", "Requests sent to the upstream since the start.",
      done.started);
  set("masticpin_executions_refused", "Requests refused before they were sent, since the start.",
      done.refused);
  set("masticpin_executions_shed", "Requests that the upstream refused since the start.",
      done.shed);
  set("masticpin_repeats_granted", "Repeats granted out of the retry budget since the start.",
      done.retries_granted);
  set("masticpin_repeats_denied", "Repeats that the retry budget did not cover, since the start.",
      done.retries_denied);
  set("masticpin_executions_broken", "Requests without a complete response since the start.",
      done.broken);
  set("masticpin_executions_sent_after_leave",
      "Requests sent to the upstream although it was known to leave, since the start.",
      done.sent_after_leave);
  set("masticpin_executions_delayed",
      "Requests of other nodes that were under way for over 0.2 s, since the start.", done.delayed);
  set("masticpin_large_body_bytes", "Bytes reserved for large bodies of requests.",
      this->memory.requests.LargeBytes());
  set("masticpin_small_body_bytes", "Bytes reserved for small bodies of requests.",
      this->memory.requests.SmallBytes());
  set("masticpin_bodies_refused",
      "Requests refused because of the size of bodies, since the start.",
      this->memory.requests.Refusals());
  set("masticpin_response_bytes", "Bytes reserved for responses.",
      this->memory.responses.LargeBytes() + this->memory.responses.SmallBytes());
  set("masticpin_responses_without_memory",
      "Responses that did not fit in the memory at once, since the start.",
      this->memory.responses.Refusals());
  set("masticpin_requests_over_allotment",
      "Requests refused because of the allotment of their client account, since the start.",
      this->router.RequestsOverAllotment());
  const AllotmentExchange& exchange = this->accounts.Exchange();
  set("masticpin_allotments_owned", "Allotments that this node holds for all nodes.",
      exchange.OwnedAccounts());
  set("masticpin_allotment_datagrams_sent", "Datagrams about allotments sent since the start.",
      exchange.Statistics().datagrams_sent);
  set("masticpin_allotment_reports_lost",
      "Datagrams with reports about allotments that were not answered, since the start.",
      exchange.Statistics().reports_lost);
  if (this->settings.learn_speed) {
    const SpeedSummary speeds = this->balancer.SummarizeSpeeds();
    const auto percent = [](double pace) {
      return static_cast<std::uint64_t>(std::llround(pace * 100));
    };
    set("masticpin_measured_routes", "Routes whose work time at the upstream was measured.",
        this->executor.MeasuredRoutes());
    set("masticpin_speed_known_instances", "Instances whose speed is known.", speeds.known);
    set("masticpin_speed_uneven_instances",
        "Instances whose speed differs from the usual one of their service.", speeds.uneven);
    set("masticpin_speed_slow_instances", "Instances that get no retries because they are slow.",
        speeds.slow);
    set("masticpin_pace_max_percent",
        "Work time of the slowest instance, in percent of the usual one of its service.",
        percent(speeds.max_pace));
    set("masticpin_pace_min_percent",
        "Work time of the fastest instance, in percent of the usual one of its service.",
        percent(speeds.min_pace));
  }
  set("masticpin_upstream_connections", "Connections opened to the upstream since the start.",
      this->executor.OpenedConnections());
}

}  // namespace masticpin
