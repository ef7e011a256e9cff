#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "masticpin/attempts/expected_time.h"
#include "masticpin/attempts/sender_retry_budget.h"
#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/home_dispatcher.h"
#include "masticpin/execution/inner_call_table.h"
#include "masticpin/execution/key_issuer.h"
#include "masticpin/fleet/fleet_state.h"
#include "masticpin/manifest/manifest.h"
#include "net/caller_request.h"
#include "net/caller_response.h"
#include "net/caller_waiter.h"
#include "net/home_channel.h"
#include "net/node_core.h"
#include "net/node_metrics.h"
#include "net/tracer.h"

namespace masticpin {

/// Serves the requests of callers and the inner calls of the local upstream: forwards a request to
/// the home node of its key, and acts as home for keys that this node issued. Handle() blocks the
/// calling thread; all other functions must be called within a NodeCore::CriticalSection.
class HomeService : public DispatchObserver {
 public:
  /// All references must outlive this object.
  HomeService(NodeCore& core,
              const Clock& clock,
              KeyIssuer& key_issuer,
              ActionLedger& ledger,
              InnerCallTable& inner_calls,
              FleetState& fleet,
              HomeChannel& channel,
              NodeMetrics& metrics,
              Tracer& tracer);
  ~HomeService() override;

  /// Must be called once before the first request.
  void SetDispatcher(HomeDispatcher& dispatcher) { this->dispatcher = &dispatcher; }
  void SetManifest(Ref<const Manifest> manifest) { this->manifest = std::move(manifest); }

  /// Serves one request and returns its response.
  CallerResponse Handle(CallerRequest request);

  /// Handles a request that another node forwarded because its key was issued here.
  void OnHomeRequest(const InstanceId& ingress, const wire::HomeRequest& request);
  void OnHomeReply(const wire::HomeReply& reply);

  /// Refuses new actions; actions in progress run to completion.
  void Drain();

  /// Number of requests that wait for a response, plus the number of running actions.
  std::size_t InProgress() const { return this->requests_in_progress + this->ledger.Running(); }

  // DispatchObserver:
  void OnDispatched(LedgerEntry& entry,
                    const ActionResult& result,
                    std::uint32_t attempts_used) override;

 private:
  class ForwardedWaiter;
  struct PendingForward;

  Span BeginSpan(CallerRequest& request);
  CallerResponse Serve(NodeCore::CriticalSection& section,
                       const CallerRequest& request,
                       bool ready);
  /// Waits until decisions may be made (see FleetState::Ready()), which takes up to 250 ms after a
  /// pause of the process. Returns false after kMaxReadyWait.
  bool WaitUntilReady(NodeCore::CriticalSection& section);
  CallerResponse HandleInner(NodeCore::CriticalSection& section, const CallerRequest& request);
  CallerResponse RunInner(NodeCore::CriticalSection& section,
                          const ExecutionContext& context,
                          const KindSpec& kind,
                          const InnerCall& call,
                          const CallerRequest& request,
                          TimePoint deadline);
  CallerResponse HandleRoot(NodeCore::CriticalSection& section,
                            const CallerRequest& request,
                            const KindSpec& kind);
  CallerResponse HandleKeyless(NodeCore::CriticalSection& section,
                               const CallerRequest& request,
                               const KindSpec& kind);
  CallerResponse Forward(NodeCore::CriticalSection& section,
                         const ActionKey& key,
                         const CallerRequest& request,
                         const KindSpec& kind);
  /// Waits for the end of an action that was dispatched here, and records how long it took.
  CallerResponse AwaitDispatch(NodeCore::CriticalSection& section,
                               const KindSpec& kind,
                               LedgerEntry& entry,
                               CallerWaiter& waiter,
                               TimePoint deadline);
  ExpectedTime& ExpectedTimeOf(const KindSpec& kind);
  /// Waits for the end of an action that has begun.
  CallerResponse Await(NodeCore::CriticalSection& section,
                       LedgerEntry& entry,
                       CallerWaiter& waiter,
                       TimePoint deadline);
  /// Cancels the action of `entry` if it is idempotent and nobody waits for it any longer.
  void CancelIfAbandoned(LedgerEntry& entry);

  static ActionParameters ParametersOf(const KindSpec& kind);
  DispatchRequest MakeDispatchRequest(const KindSpec& kind,
                                      Priority priority,
                                      TimePoint deadline,
                                      wire::HttpRequest http);
  CallerResponse ResponseOf(const ActionResult& result) const;
  CallerResponse ResponseOf(const BeginResult& begin_result) const;
  CallerResponse ErrorResponse(ErrorKind kind) const;
  /// An error response with a key for the first or next try.
  CallerResponse ErrorWithNewKey(ErrorKind kind);
  void AddNextKey(CallerResponse& response);
  TimePoint DeadlineOf(const CallerRequest& request, const KindSpec& kind) const;

  NodeCore& core;
  const Clock& clock;
  KeyIssuer& key_issuer;
  ActionLedger& ledger;
  InnerCallTable& inner_calls;
  FleetState& fleet;
  HomeChannel& channel;
  NodeMetrics& metrics;
  Tracer& tracer;
  HomeDispatcher* dispatcher = nullptr;
  Ref<const Manifest> manifest;
  std::unordered_map<std::uint64_t, PendingForward*> pending_forwards;
  /// Keyed by service and kind of the manifest, which limits the number of entries.
  std::map<std::pair<std::string, std::string>, ExpectedTime> expected_times;
  std::uint64_t next_call_id = 1;
  std::size_t requests_in_progress = 0;
  bool draining = false;
};

}  // namespace masticpin
