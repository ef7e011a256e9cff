#include "sidecar/sidecar_node.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <utility>

#include "sidecar/catalog_codec.h"

namespace masticpin {
namespace {

/// Time between two looks at the own state: the end of a stop, and signs that the instance leaves.
constexpr Duration kTick = std::chrono::milliseconds(250);

/// Two seconds between two lines about the load, the resolution at which a surge is explained.
constexpr std::uint32_t kTicksPerLoadLine = 8;

/// While the registry does not answer, other nodes are asked once a second.
constexpr std::uint32_t kTicksPerCatalogRequest = 4;

/// A stopping node stays at least this long, so that the platform notices that it is not ready (it
/// asks once a second and believes the second answer) and callers move to other machines.
constexpr Duration kLeastStopTime = std::chrono::milliseconds(2200);

/// A stopping node passes requests to its instance for this long. The rest of the stop time is
/// enough for them to end, and the capacity of the instance is away for no longer than it has to
/// be.
constexpr Duration kExecutionTime = std::chrono::milliseconds(1800);

/// The process ends this long before the end of its stop time at the latest, instead of being
/// killed.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

RequestOriginSettings MakeOriginSettings(const SidecarSettings& settings) {
  RequestOriginSettings origin;
  origin.service = settings.service;
  origin.upstream_address = settings.upstream_address;
  constexpr std::size_t kBodyPart = 8;
  origin.max_body_bytes_in_progress = (settings.memory_mb << 20) / kBodyPart;
  return origin;
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
      signals(loop, SIGTERM, SIGINT, SIGHUP),
      directory(settings.upstream_address, settings.service),
      balancer(settings.zone, clock, random),
      peers(loop, clock, timers, *this, *this, settings.service, settings.peer_address.port),
      executor(loop,
               clock,
               timers,
               random,
               source.Dialect(),
               settings.upstream_address,
               settings.retries),
      origin(MakeOriginSettings(settings),
             source.Dialect(),
             clock,
             timers,
             random,
             this->directory,
             this->balancer,
             this->peers,
             this->executor,
             this->metrics),
      status(source.Dialect().ready_path, this->metrics, [this] { this->ExportMetrics(); }),
      request_listener(loop, this->origin, clock, timers),
      ready_listener(loop, this->status, clock, timers),
      metrics_listener(loop, this->status, clock, timers),
      peer_listener(loop, this->executor, settings.service, *this, clock, timers) {
  this->directory.AddObserver(this->balancer);
  this->directory.AddObserver(this->peers);
}

SidecarNode::~SidecarNode() = default;

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
  const std::string error = this->peer_listener.Listen(this->settings.peer_address);
  if (!error.empty()) {
    return error;
  }
  spdlog::info("event=node_started name={} service={} zone={} request_address={} peer_address={}",
               this->settings.name, this->settings.service, this->settings.zone,
               this->settings.request_address.ToString(), this->settings.peer_address.ToString());
  this->WaitForSignal();
  this->timers.Schedule(*this, this->clock.Now() + kTick);
  this->source.Start(*this);
  return "";
}

void SidecarNode::Stop() {
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stop_requested_at = this->clock.Now();
  spdlog::info("event=node_stopping name={} busy={}", this->settings.name, this->IsBusy());
  this->UpdateReady();
  this->origin.Drain();
}

void SidecarNode::WaitForSignal() {
  this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;  // The loop ends.
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
    spdlog::error("event=settings_not_reloaded reason=\"the file is not valid\"");
    return;
  }
  spdlog::set_level(spdlog::level::from_str(read->log_level));
  this->executor.SetRetries(read->retries);
  spdlog::info("event=settings_reloaded log_level={} retry_ratio={} retry_slack={}",
               read->log_level, read->retries.ratio, read->retries.slack);
}

void SidecarNode::OnConfiguration(Ref<const RoutingConfiguration> configuration) {
  if (configuration->Version() <= this->origin.ConfigurationVersion()) {
    return;
  }
  spdlog::info("event=configuration_in_force version={} previous={} routes={} services={}",
               configuration->Version(), this->origin.ConfigurationVersion(),
               configuration->Routes().size(), configuration->Services().size());
  this->origin.SetConfiguration(std::move(configuration));
  this->UpdateReady();
}

void SidecarNode::OnInstanceList(const std::vector<UpstreamInstance>& list,
                                 std::uint64_t revision) {
  this->directory.ApplyList(list, revision, this->clock.Now());
  this->UpdateOwnInstance();
  this->UpdateReady();
}

void SidecarNode::OnInstanceEntry(const UpstreamInstance& instance) {
  this->directory.Apply(instance);
  this->UpdateOwnInstance();
}

void SidecarNode::OnInstanceEntryMissing(std::string_view name, std::uint64_t revision) {
  this->directory.ApplyMissing(name, revision, this->clock.Now());
  this->UpdateOwnInstance();
}

void SidecarNode::OnRegistryLost(std::string_view reason) {
  spdlog::warn("event=registry_lost reason=\"{}\"", reason);
  this->registry_lost = true;
  this->directory.OnRegistryUnreachable(this->clock.Now());
}

void SidecarNode::OnRegistryStillLost() {
  this->directory.OnRegistryUnreachable(this->clock.Now());
}

void SidecarNode::OnRegistryRegained() {
  spdlog::info("event=registry_regained");
  this->registry_lost = false;
}

void SidecarNode::OnPeerLoad(std::string_view instance, const LoadReport& load) {
  this->balancer.OnLoad(instance, load);
}

void SidecarNode::OnPeerLeaving(std::string_view instance) {
  spdlog::info("event=peer_leaving instance={}", instance);
  this->balancer.OnNodeLeaving(instance);
}

void SidecarNode::OnPeerClosed(std::string_view instance) {
  this->balancer.OnNodeClosed(instance);
}

void SidecarNode::FillCatalog(const wire::CatalogRequest& request, wire::Catalog& catalog) const {
  const RoutingConfiguration* configuration = this->origin.Configuration();
  if (configuration != nullptr && configuration->Version() > request.configuration_version()) {
    EncodeConfiguration(*configuration, *catalog.mutable_configuration());
  }
  this->directory.ForEach([&catalog](const UpstreamInstance& instance) {
    EncodeInstance(instance, *catalog.add_instances());
  });
}

void SidecarNode::ApplyCatalog(const wire::Catalog& catalog) {
  if (catalog.has_configuration()) {
    const Ref<const RoutingConfiguration> configuration =
        DecodeConfiguration(catalog.configuration());
    if (configuration == nullptr) {
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
    this->directory.ApplyEntries(instances);
    this->UpdateOwnInstance();
    this->UpdateReady();
  }
}

bool SidecarNode::NeedsCatalog(wire::CatalogRequest& request) const {
  request.set_configuration_version(this->origin.ConfigurationVersion());
  return this->registry_lost || this->origin.ConfigurationVersion() == 0;
}

void SidecarNode::UpdateOwnInstance() {
  const UpstreamInstance* own = this->directory.FindByAddress(this->settings.upstream_address);
  this->executor.SetInstance(own);
  this->executor.SetInstanceCount(this->balancer.CountInstances(this->settings.service));
  if (own != nullptr &&
      (own->name != this->own_instance || own->incarnation != this->own_incarnation)) {
    this->own_instance = own->name;
    this->own_incarnation = own->incarnation;
    spdlog::info("event=own_instance_found instance={} incarnation={} slots={}", own->name,
                 own->incarnation, own->slots);
    this->source.SetOwnInstance(own->name);
  }
}

void SidecarNode::UpdateReady() {
  const bool ready =
      this->origin.ConfigurationVersion() != 0 && this->directory.IsPopulated() && !this->stopping;
  if (ready != this->status.IsReady()) {
    spdlog::info("event={} version={} instances={}", ready ? "ready" : "not_ready",
                 this->origin.ConfigurationVersion(), this->directory.Size());
  }
  this->status.SetReady(ready);
}

bool SidecarNode::IsBusy() const {
  return this->origin.IsBusy() || this->executor.IsBusy() || this->peer_listener.IsBusy() ||
         this->request_listener.IsBusy();
}

void SidecarNode::OnTimer(TimePoint now) {
  this->timers.Schedule(*this, now + kTick);
  if (++this->ticks % kTicksPerLoadLine == 0) {
    this->LogLoad();
  }
  if (this->ticks % kTicksPerCatalogRequest == 0) {
    this->peer_listener.AskForCatalog();
  }
  if (this->executor.TakeConnectionCloseSeen()) {
    this->source.RefreshOwnInstance();
  }
  if (!this->stopping) {
    return;
  }
  const Duration since = now - this->stop_requested_at;
  if (!this->executions_ended && since >= kExecutionTime) {
    // The own instance gets no new requests from here on; it goes on running beside the node, and
    // what it has is finished.
    this->executions_ended = true;
    this->executor.Drain();
    this->peer_listener.AnnounceLeaving();
  }
  if (since >= kLeastStopTime) {
    // Callers that have no other machine go on calling. They would keep the process, and with it
    // the capacity of the instance, away until the end of the stop time.
    this->request_listener.Stop();
  }
  const bool done = since >= kLeastStopTime && !this->IsBusy();
  if (done || since >= this->settings.stop_time - kStopMargin) {
    spdlog::info("event=node_stopped name={} busy={}", this->settings.name, this->IsBusy());
    this->stopped = true;
    this->loop.stop();
  }
}

void SidecarNode::LogLoad() {
  const LocalExecutorStatistics& done = this->executor.Statistics();
  if (done.offered == this->logged.offered) {
    return;
  }
  const LoadReport load = this->executor.GetLoad();
  spdlog::info(
      "event=load limit={} in_flight={} queued={} threshold={} offered={} started={} refused={} "
      "shed={} broken={} repeats_granted={} repeats_denied={}",
      load.limit, load.in_flight, load.queued, load.threshold, done.offered - this->logged.offered,
      done.started - this->logged.started, done.refused - this->logged.refused,
      done.shed - this->logged.shed, done.broken - this->logged.broken,
      done.repeats_granted - this->logged.repeats_granted,
      done.repeats_denied - this->logged.repeats_denied);
  this->logged = done;
}

void SidecarNode::ExportMetrics() {
  const LocalExecutorStatistics& done = this->executor.Statistics();
  const LoadReport load = this->executor.GetLoad();
  const auto set = [this](std::string_view name, std::string_view help, std::uint64_t value) {
    this->metrics.GetGauge(name, help).Set(static_cast<std::int64_t>(value));
  };
  set("masticpin_configuration_version", "Version of the configuration in force.",
      this->origin.ConfigurationVersion());
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
      done.repeats_granted);
  set("masticpin_repeats_denied", "Repeats that the retry budget did not cover, since the start.",
      done.repeats_denied);
  set("masticpin_executions_broken", "Requests without a complete response since the start.",
      done.broken);
  set("masticpin_upstream_connections", "Connections opened to the upstream since the start.",
      this->executor.OpenedConnections());
}

}  // namespace masticpin
