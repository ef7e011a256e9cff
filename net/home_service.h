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

/// Serves the requests of callers and of the own upstream: finds the home of a request, and is the
/// home of those whose key was issued here. Handle() waits on the calling thread; all other
/// functions must be called within a section of the core.
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

  /// Another node passes a request on whose key was issued here.
  void OnHomeRequest(const InstanceId& ingress, const wire::HomeRequest& request);
  void OnHomeReply(const wire::HomeReply& reply);

  /// Refuses new actions; those in progress run to their end.
  void Drain();

  /// Requests that wait for a response, and actions that run.
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
  /// Waits until decisions may be made, which a pause of the process delays by up to 250 ms.
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
  /// Waits for the end of an action that was dispatched here and measures its time.
  CallerResponse AwaitDispatch(NodeCore::CriticalSection& section,
                               const KindSpec& kind,
                               LedgerEntry& entry,
                               CallerWaiter& waiter,
                               TimePoint deadline);
  ExpectedTime& ExpectedTimeOf(const KindSpec& kind);
  /// Waits for the end of a begun action.
  CallerResponse Await(NodeCore::CriticalSection& section,
                       LedgerEntry& entry,
                       CallerWaiter& waiter,
                       TimePoint deadline);
  /// Nobody waits for `entry` any longer.
  void CancelIfAbandoned(LedgerEntry& entry);

  static ActionParameters TermsOf(const KindSpec& kind);
  DispatchRequest MakeOrder(const KindSpec& kind,
                            Priority priority,
                            TimePoint deadline,
                            wire::HttpRequest http);
  CallerResponse ResponseOf(const ActionResult& result) const;
  CallerResponse ResponseOf(const BeginResult& begin_result) const;
  CallerResponse ErrorResponse(ErrorKind kind) const;
  /// An error together with a key for the first or next try.
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
  /// By service and kind of the manifest, which bounds their number.
  std::map<std::pair<std::string, std::string>, ExpectedTime> expected_times;
  std::uint64_t next_call_id = 1;
  std::size_t requests_in_progress = 0;
  bool draining = false;
};

}  // namespace masticpin
