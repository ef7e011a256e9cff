#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/attempts/sender_retry_budget.h"
#include "masticpin/configuration/document_listener.h"
#include "masticpin/configuration/document_validator.h"
#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/execution_sender.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/execution/home_dispatcher.h"
#include "masticpin/execution/inner_call_table.h"
#include "masticpin/execution/key_issuer.h"
#include "masticpin/fleet/fleet_state.h"
#include "masticpin/membership/member_observer.h"
#include "masticpin/settings/node_settings.h"
#include "masticpin/wire/envelope_sender.h"
#include "net/executor.h"
#include "net/home_channel.h"
#include "net/home_service.h"
#include "net/http_frontend.h"
#include "net/instance_router.h"
#include "net/node_core.h"
#include "net/node_metrics.h"
#include "net/node_options.h"
#include "net/peer_transport.h"
#include "net/platform_client.h"
#include "net/reply_sender.h"
#include "net/system_clock.h"
#include "net/system_random.h"
#include "net/thread_timer_service.h"
#include "net/tracer.h"
#include "net/upstream_client.h"
#include "net/worker_pool.h"

namespace masticpin {

/// One node: owns its single-threaded objects (see NodeCore), the threads and the sockets, and
/// routes messages between them.
class Node : public CallerHandler,
             private PeerHandler,
             private EnvelopeSender,
             private ExecutionSender,
             private ReplySender,
             private HomeChannel,
             private DocumentValidator,
             private DocumentListener,
             private MemberObserver,
             private TimerSubscriber {
 public:
  explicit Node(const NodeSettings& settings, const NodeOptions& options = {});
  ~Node() override;

  /// Binds the addresses and starts serving. Returns an empty string, or the reason for a failure.
  std::string Start();

  /// Serves until the node has drained. The drain begins with BeginDrain() or when `stop_requested`
  /// returns true.
  void RunUntilDrained(const std::function<bool()>& stop_requested);

  // CallerHandler:
  CallerResponse Handle(CallerRequest request) override;
  std::string StatusJson() override;
  std::string MetricsText() override;
  std::string TracesJson(const std::string& filter) override;
  void BeginDrain() override;

 private:
  /// Fills in the fields that all envelopes share.
  void StampEnvelope(wire::Envelope& envelope);
  /// Sends an envelope. A message to this node itself is handled at the end of the critical
  /// section.
  void SendEnvelope(const InstanceId& to, wire::Envelope envelope);
  void Dispatch(const wire::Envelope& envelope);
  void OnExecuteReply(const InstanceId& from, const wire::ExecuteReply& reply);
  /// Refuses an execution that arrived before the first manifest, and closes its key.
  void RefuseWithoutConfiguration(const InstanceId& home, const wire::ExecutionKey& key);
  void OnInstanceList(const std::optional<std::vector<ListedInstance>>& list);
  bool IsDrained();
  /// Called when the process `lost_instance` no longer exists: no reply will come from it.
  void OnInstanceLost(const InstanceId& lost_instance);

  // PeerHandler:
  void OnEnvelope(const wire::Envelope& envelope) override;
  void OnSendFailed(const std::string& endpoint, const wire::Envelope& envelope) override;
  void OnMalformed(std::size_t bytes) override;

  // EnvelopeSender:
  void Send(const InstanceId& to, wire::Envelope envelope) override;
  void SendToEndpoint(const std::string& endpoint, wire::Envelope envelope) override;

  // ExecutionSender:
  void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) override;
  void SendCancel(const InstanceId& executor, const wire::CancelRequest& request) override;

  // ReplySender:
  void SendReply(const InstanceId& home, const wire::ExecuteReply& reply) override;

  // HomeChannel:
  void SendHomeRequest(const InstanceId& home, wire::HomeRequest request) override;
  void SendHomeReply(const InstanceId& ingress, wire::HomeReply reply) override;

  // DocumentValidator and DocumentListener:
  std::string Validate(std::string_view name,
                       std::uint64_t version,
                       std::string_view bytes) override;
  void OnDocument(const Document& document) override;
  void OnRejected(std::string_view name,
                  std::uint64_t version,
                  const DocumentSource& source,
                  std::string_view reason) override;

  // MemberObserver:
  void OnMemberAdded(const Member& member) override;
  void OnMemberChanged(const Member& member, std::uint64_t previous_incarnation) override;
  void OnMemberRemoved(const Member& member) override;

  // TimerSubscriber, for reads of the instance list:
  void OnTimer(TimePoint now) override;

  /// An execution that was sent and has no reply yet.
  struct Outstanding {
    InstanceId executor;
    TimePoint sent_at;
  };

  const NodeSettings settings;
  const NodeOptions options;
  const SystemClock clock;
  SystemRandom random;
  NodeMetrics metrics;
  Tracer tracer;
  NodeCore core;
  ThreadTimerService timers;
  PlatformClient platform;
  KeyIssuer key_issuer;
  ActionLedger ledger;
  InnerCallTable inner_calls;
  ExecutionTable executions;
  SenderRetryBudget sender_retry_budget;
  UpstreamClient upstream;
  WorkerPool workers;
  FleetState fleet;
  InstanceRouter router;
  HomeService home;
  HomeDispatcher dispatcher;
  /// Created with the first manifest, which defines the number of slots.
  std::unique_ptr<AdmissionController> admission;
  std::unique_ptr<Executor> executor;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<HttpFrontend> front;
  Ref<const Manifest> manifest;
  std::unordered_map<std::uint64_t, Outstanding> outstanding;
  bool list_read_in_progress = false;
  bool fleet_started = false;
  TimePoint started_at{};
  bool draining = false;
  TimePoint drain_began{};
};

}  // namespace masticpin
