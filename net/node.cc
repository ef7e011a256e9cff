#include "net/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/manifest/manifest_parser.h"
#include "net/node_status.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

/// Extra time after the maximum deadline in which requests in progress may finish.
constexpr Duration kDrainGrace = std::chrono::seconds(1);

/// Upper limit for ComputeMaxQueueWait(). Call chains wait in several queues in turn, and recovery
/// after a surge must take less than 2 s in total.
constexpr Duration kMaxQueueWait = milliseconds(400);

/// How often a draining node checks whether it has finished.
constexpr auto kDrainPollInterval = milliseconds(20);

std::string EndpointOf(const SocketAddress& address) {
  return "tcp://" + address.ToString();
}

/// Maximum wait for admission: a quarter of the shortest deadline, so that most of a caller's time
/// is left for the work. At most kMaxQueueWait, and at least AdmissionSettings::hold_down: a
/// shorter wait would not keep requests ordered by importance, as an important one could be refused
/// too soon after a less important one was admitted.
Duration ComputeMaxQueueWait(const Manifest& manifest, const std::string& service) {
  Duration shortest = kMaxQueueWait * 4;
  for (const KindSpec& kind : manifest.Kinds()) {
    if (kind.service == service) {
      shortest = std::min(shortest, kind.deadline);
    }
  }
  return std::max(shortest / 4, AdmissionSettings().hold_down);
}

Member MakeSelf(const NodeSettings& settings, std::uint64_t incarnation, TimePoint now) {
  Member self;
  self.id = {settings.name, incarnation};
  self.service = settings.service;
  self.zone = settings.zone;
  self.peer_endpoint = EndpointOf(settings.peer_address);
  self.http_address = settings.http_address.ToString();
  self.self = true;
  self.first_seen = now;
  return self;
}

FleetStateSettings MakeFleetSettings(const NodeSettings& settings) {
  FleetStateSettings fleet;
  fleet.document = settings.document;
  return fleet;
}

UpstreamClientSettings MakeUpstreamSettings(const NodeSettings& settings) {
  UpstreamClientSettings upstream;
  upstream.host = settings.upstream_address.ip;
  upstream.port = settings.upstream_address.port;
  return upstream;
}

}  // namespace

Node::Node(const NodeSettings& settings, const NodeOptions& options)
    : settings(settings),
      options(options),
      tracer(this->clock, this->random),
      timers(this->core, this->clock),
      platform(this->core, settings.platform_address),
      key_issuer({settings.name, this->random.Next()}, this->clock, this->random),
      ledger(LedgerSettings(), this->key_issuer, this->timers),
      inner_calls(this->random),
      executions(ExecutionTableSettings(),
                 this->key_issuer.Self().incarnation,
                 this->key_issuer.Epochs(),
                 this->timers),
      sender_retry_budget(this->clock),
      upstream(MakeUpstreamSettings(settings), this->clock),
      workers(1),
      fleet(MakeSelf(settings, this->key_issuer.Self().incarnation, this->clock.Now()),
            *this,
            this->platform,
            *this,
            this->clock,
            this->timers,
            this->random,
            MakeFleetSettings(settings)),
      router(this->fleet, this->key_issuer.Epochs(), this->random),
      home(this->core,
           this->clock,
           this->key_issuer,
           this->ledger,
           this->inner_calls,
           this->fleet,
           *this,
           this->metrics,
           this->tracer),
      dispatcher(DispatchSettings(),
                 this->key_issuer.Self().incarnation,
                 this->clock,
                 this->timers,
                 *this,
                 this->router,
                 this->sender_retry_budget,
                 this->home) {
  this->home.SetDispatcher(this->dispatcher);
  this->front = std::make_unique<HttpFrontend>(HttpServerOptions(), *this);
}

Node::~Node() {
  // End the threads first, so that nothing calls into objects that are being destroyed. Peers may
  // send until the transport stops, and an execution that is admitted after the workers have
  // stopped would start a thread that may outlive the executor, so new executions are refused from
  // here on.
  this->front->Stop();
  this->platform.Stop();
  {
    const NodeCore::CriticalSection section(this->core);
    if (this->executor != nullptr) {
      this->executor->Drain();
    }
  }
  this->workers.Stop();
  if (this->transport != nullptr) {
    this->transport->Stop();
  }
  this->timers.Stop();
}

std::string Node::Start() {
  this->timers.Start();

  // The transport must run before the fleet starts, because the start-up queries peers.
  PeerTransportSettings transport_settings;
  transport_settings.bind_endpoint = EndpointOf(this->settings.peer_address);
  transport_settings.public_key = this->settings.public_key;
  transport_settings.secret_key = this->settings.secret_key;
  try {
    const NodeCore::CriticalSection section(this->core);
    PeerHandler& handler = *this;
    this->transport = std::make_unique<PeerTransport>(transport_settings, handler);
    this->fleet.Members().AddObserver(*this);
    this->fleet.Documents().AddListener(*this);
  } catch (const zmq::error_t& error) {
    return "cannot bind " + this->settings.peer_address.ToString() + ": " + error.what();
  }

  {
    const NodeCore::CriticalSection section(this->core);
    this->started_at = this->clock.Now();
    this->OnTimer(this->started_at);
  }

  const std::string http_address = this->settings.http_address.ToString();
  if (this->front->Start(http_address) < 0) {
    return "cannot bind " + http_address;
  }
  spdlog::info("event=node_started instance={} incarnation={:016x} service={} zone={}",
               this->settings.name, this->key_issuer.Self().incarnation, this->settings.service,
               this->settings.zone);
  return "";
}

void Node::RunUntilDrained(const std::function<bool()>& stop_requested) {
  for (;;) {
    std::this_thread::sleep_for(kDrainPollInterval);
    if (stop_requested()) {
      this->BeginDrain();
    }
    if (this->IsDrained()) {
      break;
    }
  }
  this->front->Stop();
  spdlog::info("event=node_stopped instance={}", this->settings.name);
}

CallerResponse Node::Handle(CallerRequest request) {
  return this->home.Handle(std::move(request));
}

std::string Node::StatusJson() {
  const NodeCore::CriticalSection section(this->core);
  nlohmann::json status;
  status["instance"] = this->settings.name;
  status["incarnation"] = this->key_issuer.Self().incarnation;
  status["service"] = this->settings.service;
  status["zone"] = this->settings.zone;
  status["state"] = this->draining                ? "draining"
                    : this->fleet.Gate().IsOpen() ? "serving"
                                                  : "starting";

  status["configuration"] = ConfigurationToJson(this->fleet, this->settings.document);
  status["load"] =
      this->admission == nullptr ? nlohmann::json() : LoadToJson(this->admission->GetLoad());

  nlohmann::json& actions = status["actions"];
  actions["remembered"] = this->ledger.Size();
  actions["running"] = this->ledger.Running();
  actions["stored_bytes"] = this->ledger.StoredBytes();
  actions["executions_remembered"] = this->executions.Size();
  actions["executions_in_progress"] = this->executor == nullptr ? 0 : this->executor->InProgress();
  actions["inner_contexts"] = this->inner_calls.Size();

  status["members"] = MembersToJson(this->fleet);
  status["pauses"] = this->fleet.Pauses();
  return status.dump(2);
}

std::string Node::MetricsText() {
  {
    // Gauges are updated only when the metrics are read.
    const NodeCore::CriticalSection section(this->core);
    const LoadReport report =
        this->admission == nullptr ? LoadReport() : this->admission->GetLoad();
    this->metrics.limit.Set(report.limit);
    this->metrics.in_flight.Set(report.in_flight);
    this->metrics.queued.Set(report.queued);
    this->metrics.configuration_version.Set(
        static_cast<std::int64_t>(this->fleet.Documents().VersionOf(this->settings.document)));
    this->metrics.members.Set(static_cast<std::int64_t>(this->fleet.Members().Members().size()));
  }
  return this->metrics.WriteText();
}

std::string Node::TracesJson(const std::string& filter) {
  return this->tracer.Store().ExportOtlpJson(this->settings.service, this->settings.name, filter);
}

void Node::BeginDrain() {
  const NodeCore::CriticalSection section(this->core);
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->drain_began = this->clock.Now();
  spdlog::info("event=drain_began instance={} in_progress={}", this->settings.name,
               this->home.InProgress());
  this->fleet.Leave();
  this->home.Drain();
  if (this->executor != nullptr) {
    this->executor->Drain();
  }
}

bool Node::IsDrained() {
  const NodeCore::CriticalSection section(this->core);
  if (!this->draining) {
    return false;
  }
  const Duration elapsed = this->clock.Now() - this->drain_began;
  if (elapsed < this->options.leave_notice) {
    return false;
  }
  const std::size_t in_progress =
      this->home.InProgress() + (this->executor == nullptr ? 0 : this->executor->InProgress());
  const Duration max_deadline =
      this->manifest == nullptr ? Duration::zero() : this->manifest->MaxDeadline();
  return in_progress == 0 || elapsed > max_deadline + kDrainGrace + this->options.leave_notice;
}

void Node::StampEnvelope(wire::Envelope& envelope) {
  this->fleet.FillEnvelopeHeader(this->key_issuer.Epochs().Current(), envelope);
  if (this->admission != nullptr) {
    const LoadReport report = this->admission->GetLoad();
    wire::LoadReport* load = envelope.mutable_load();
    load->set_limit(report.limit);
    load->set_in_flight(report.in_flight);
    load->set_queued(report.queued);
    load->set_threshold(report.threshold);
  }
}

void Node::SendEnvelope(const InstanceId& to, wire::Envelope envelope) {
  this->StampEnvelope(envelope);
  if (to == this->key_issuer.Self()) {
    this->core.Defer([this, envelope = std::move(envelope)] { this->Dispatch(envelope); });
    return;
  }
  const Ref<const Member> member = this->fleet.Members().Find(to.name);
  if (member == nullptr) {
    this->metrics.send_failures.Increment();
    return;
  }
  this->transport->Send(member->peer_endpoint, std::move(envelope));
}

void Node::Dispatch(const wire::Envelope& envelope) {
  const InstanceId from{envelope.sender().name(), envelope.sender().incarnation()};
  if (this->fleet.OnEnvelope(envelope)) {
    return;
  }
  switch (envelope.body_case()) {
    case wire::Envelope::kHomeRequest:
      this->home.OnHomeRequest(from, envelope.home_request());
      break;
    case wire::Envelope::kHomeReply:
      this->home.OnHomeReply(envelope.home_reply());
      break;
    case wire::Envelope::kExecuteRequest:
      if (this->executor == nullptr) {
        this->RefuseWithoutConfiguration(from, envelope.execute_request().key());
      } else {
        this->executor->Execute(from, envelope.execute_request());
      }
      break;
    case wire::Envelope::kExecuteReply:
      this->OnExecuteReply(from, envelope.execute_reply());
      break;
    case wire::Envelope::kCancelRequest:
      if (this->executor != nullptr) {
        this->executor->Cancel(envelope.cancel_request().key());
      }
      break;
    default:
      this->metrics.malformed_messages.Increment();
      break;
  }
}

void Node::OnExecuteReply(const InstanceId& from, const wire::ExecuteReply& reply) {
  const auto found = this->outstanding.find(reply.key().sequence());
  if (found != this->outstanding.end() && found->second.executor == from) {
    this->fleet.Balancer().OnReply(from);
    this->outstanding.erase(found);
  }
  this->dispatcher.OnReply(from, reply);
}

void Node::RefuseWithoutConfiguration(const InstanceId& home, const wire::ExecutionKey& key) {
  wire::ExecuteReply reply;
  *reply.mutable_key() = key;
  const AcceptResult accepted = this->executions.Accept(key);
  const bool refused = accepted.decision == AcceptDecision::kRefused;
  reply.set_error(
      static_cast<std::uint32_t>(refused ? accepted.error : ErrorKind::kNoConfiguration));
  if (accepted.decision == AcceptDecision::kNew) {
    this->executions.Finish(key, Ref<const StoredReply>(new StoredReply(reply)));
  }
  this->SendReply(home, reply);
}

void Node::OnEnvelope(const wire::Envelope& envelope) {
  const NodeCore::CriticalSection section(this->core);
  if (!envelope.has_sender() || envelope.sender().name() == this->settings.name) {
    this->metrics.malformed_messages.Increment();
    return;
  }
  this->Dispatch(envelope);
}

void Node::OnSendFailed(const std::string& endpoint, const wire::Envelope& envelope) {
  const NodeCore::CriticalSection section(this->core);
  this->metrics.send_failures.Increment();
  if (!envelope.has_execute_request()) {
    return;
  }
  // The request was never sent, so the execution certainly did not run.
  const wire::ExecutionKey& key = envelope.execute_request().key();
  const auto found = this->outstanding.find(key.sequence());
  if (found == this->outstanding.end()) {
    return;
  }
  spdlog::warn("event=send_failed endpoint={} instance={}", endpoint, found->second.executor.name);
  const InstanceId executor_id = found->second.executor;
  this->fleet.Balancer().OnFailure(executor_id);
  this->outstanding.erase(found);
  wire::ExecuteReply reply;
  *reply.mutable_key() = key;
  reply.set_error(static_cast<std::uint32_t>(ErrorKind::kUpstreamUnreachable));
  this->dispatcher.OnReply(executor_id, std::move(reply));
}

void Node::OnMalformed(std::size_t bytes) {
  this->metrics.malformed_messages.Increment();
  spdlog::warn("event=malformed_message bytes={}", bytes);
}

void Node::Send(const InstanceId& to, wire::Envelope envelope) {
  this->SendEnvelope(to, std::move(envelope));
}

void Node::SendToEndpoint(const std::string& endpoint, wire::Envelope envelope) {
  this->StampEnvelope(envelope);
  this->transport->Send(endpoint, std::move(envelope));
}

void Node::SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) {
  this->fleet.Balancer().OnSent(executor);
  this->outstanding[request.key().sequence()] = {executor, this->clock.Now()};
  wire::Envelope envelope;
  *envelope.mutable_execute_request() = request;
  this->SendEnvelope(executor, std::move(envelope));
}

void Node::SendCancel(const InstanceId& executor, const wire::CancelRequest& request) {
  const auto found = this->outstanding.find(request.key().sequence());
  if (found != this->outstanding.end()) {
    // An instance that sent no message since the request was sent may no longer exist. One that has
    // sent messages only takes too long for this request.
    const Ref<const Member> member = this->fleet.Members().Find(executor);
    const bool silent = executor != this->key_issuer.Self() && member != nullptr &&
                        member->last_contact < found->second.sent_at;
    if (silent) {
      this->fleet.Balancer().OnFailure(executor);
    } else {
      this->fleet.Balancer().OnReply(executor);
    }
    this->outstanding.erase(found);
  }
  wire::Envelope envelope;
  *envelope.mutable_cancel_request() = request;
  this->SendEnvelope(executor, std::move(envelope));
}

void Node::SendReply(const InstanceId& home_id, const wire::ExecuteReply& reply) {
  wire::Envelope envelope;
  *envelope.mutable_execute_reply() = reply;
  this->SendEnvelope(home_id, std::move(envelope));
}

void Node::SendHomeRequest(const InstanceId& home_id, wire::HomeRequest request) {
  wire::Envelope envelope;
  *envelope.mutable_home_request() = std::move(request);
  this->SendEnvelope(home_id, std::move(envelope));
}

void Node::SendHomeReply(const InstanceId& ingress, wire::HomeReply reply) {
  wire::Envelope envelope;
  *envelope.mutable_home_reply() = std::move(reply);
  this->SendEnvelope(ingress, std::move(envelope));
}

std::string Node::Validate(std::string_view name, std::uint64_t version, std::string_view bytes) {
  const ManifestParseResult parsed = ManifestParser::Parse(bytes, name);
  if (!parsed.Ok()) {
    return FormatProblem(parsed.problems.front());
  }
  if (parsed.manifest->Version() != version) {
    return "the version in the manifest differs from the version of the document";
  }
  if (parsed.manifest->FindService(this->settings.service) == nullptr) {
    return "the manifest has no section for service " + this->settings.service;
  }
  return "";
}

void Node::OnDocument(const Document& document) {
  this->manifest = ManifestParser::Parse(*document.bytes, document.name).manifest;
  const ServiceSpec& service = *this->manifest->FindService(this->settings.service);
  this->upstream.SetShedStatus(service.shed_status);
  this->workers.SetMaxThreads(service.slots);
  this->front->SetMaxConnections(service.connections);

  // The first manifest creates the executor; later manifests change its settings.
  if (this->admission == nullptr) {
    AdmissionSettings admission_settings;
    admission_settings.ceiling = service.slots;
    admission_settings.queue_wait_bound =
        ComputeMaxQueueWait(*this->manifest, this->settings.service);
    this->admission = std::make_unique<AdmissionController>(admission_settings, this->clock,
                                                            this->timers, this->random);
    ReplySender& replies = *this;
    this->executor = std::make_unique<Executor>(
        this->core, this->clock, this->executions, *this->admission, this->inner_calls,
        this->upstream, this->workers, this->router, replies, this->metrics, this->tracer);
    if (this->draining) {
      this->executor->Drain();
    }
  } else {
    this->admission->SetCeiling(service.slots);
  }
  this->executor->SetManifest(this->manifest);
  this->home.SetManifest(this->manifest);

  // The local service and the services that it calls.
  std::vector<std::string> used = {this->settings.service};
  for (const KindSpec& kind : this->manifest->Kinds()) {
    if (kind.service == this->settings.service) {
      for (const KindRef& call : kind.calls) {
        used.push_back(call.service);
      }
    }
  }
  std::sort(used.begin(), used.end());
  used.erase(std::unique(used.begin(), used.end()), used.end());
  this->fleet.SetServicesInUse(std::move(used));
  spdlog::info("event=configuration_in_force document={} version={} source=\"{}\"", document.name,
               document.version, document.source.ToString());
}

void Node::OnRejected(std::string_view name,
                      std::uint64_t version,
                      const DocumentSource& source,
                      std::string_view reason) {
  spdlog::error("event=configuration_refused document={} version={} source=\"{}\" reason=\"{}\"",
                name, version, source.ToString(), reason);
}

void Node::OnMemberAdded(const Member& member) {
  if (!member.self) {
    spdlog::info("event=member_added name={} incarnation={:016x}", member.id.name,
                 member.id.incarnation);
  }
}

void Node::OnMemberChanged(const Member& member, std::uint64_t previous_incarnation) {
  if (previous_incarnation != 0 && previous_incarnation != member.id.incarnation) {
    this->OnInstanceLost({member.id.name, previous_incarnation});
  }
}

void Node::OnMemberRemoved(const Member& member) {
  spdlog::info("event=member_removed name={} incarnation={:016x}", member.id.name,
               member.id.incarnation);
  this->OnInstanceLost(member.id);
  this->transport->Disconnect(member.peer_endpoint);
}

void Node::OnInstanceLost(const InstanceId& lost_instance) {
  // Deferred, because an observer must not change the member table while the table calls it.
  this->core.Defer([this, lost_instance] {
    std::erase_if(this->outstanding, [&lost_instance](const auto& entry) {
      return entry.second.executor == lost_instance;
    });
    this->dispatcher.OnPeerLost(lost_instance);
  });
}

void Node::OnTimer(TimePoint now) {
  // Read the instance list, unless a read is still in progress.
  if (!this->list_read_in_progress) {
    this->list_read_in_progress = true;
    this->platform.ReadInstances([this](const std::optional<std::vector<ListedInstance>>& list) {
      this->OnInstanceList(list);
    });
  }

  // Add random jitter, so that nodes that started at the same time do not keep reading at the same
  // time.
  const auto members = static_cast<Duration::rep>(this->fleet.Members().Members().size());
  const Duration period = std::max(this->options.list_read_interval,
                                   members * this->options.list_read_interval_per_member);
  const auto jitter = Duration(static_cast<Duration::rep>(
      this->random.NextBelow(static_cast<std::uint64_t>(period.count()))));
  this->timers.Schedule(*this, now + period / 2 + jitter);
}

void Node::OnInstanceList(const std::optional<std::vector<ListedInstance>>& list) {
  this->list_read_in_progress = false;
  if (list.has_value()) {
    this->fleet.Members().ApplyList(*list);
  } else {
    spdlog::warn("event=instance_list_unavailable");
  }

  // The start-up queries the peers in the list. A node that queried only the configuration service
  // could start with an older version than its peers hold.
  const bool waited = this->clock.Now() - this->started_at >= this->options.max_list_wait;
  if (!this->fleet_started && (list.has_value() || waited)) {
    this->fleet_started = true;
    this->fleet.Start();
  }
}

}  // namespace masticpin
