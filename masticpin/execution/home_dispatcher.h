#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "masticpin/admission/priority.h"
#include "masticpin/attempts/sender_retry_budget.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/execution/dispatch_observer.h"
#include "masticpin/execution/dispatch_settings.h"
#include "masticpin/execution/execution_sender.h"
#include "masticpin/execution/instance_chooser.h"
#include "masticpin/execution/ledger_entry.h"

namespace masticpin {

/// One request to dispatch.
struct DispatchRequest {
  std::string service;
  std::string kind;
  Priority priority;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// Expected duration of one run, as measured by the node.
  Duration expected_time{};
  std::string traceparent;
  /// Text of the root action's key, for logs and traces.
  std::string action;
  wire::HttpRequest request;
};

/// Counters of a HomeDispatcher.
struct DispatchCounts {
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t timeouts = 0;
  /// Replies that match no outstanding dispatch: late, duplicate, or from the wrong executor.
  std::uint64_t dropped_replies = 0;
};

/// Dispatches started entries: chooses an executor, sends the request, and after a failure tries
/// another instance if that is safe and can succeed. At most one execution of a non-idempotent
/// entry is outstanding, and it is retried only if it is known not to have run.
class HomeDispatcher {
 public:
  HomeDispatcher(const DispatchSettings& settings,
                 std::uint64_t home_incarnation,
                 const Clock& clock,
                 TimerService& timers,
                 ExecutionSender& sender,
                 InstanceChooser& chooser,
                 SenderRetryBudget& retry_budget,
                 DispatchObserver& observer);
  ~HomeDispatcher();

  /// Dispatches a started entry.
  void Dispatch(Ref<LedgerEntry> entry, DispatchRequest dispatch_request);

  /// Handles a reply sent by `from`. A reply that matches no outstanding execution is dropped.
  void OnReply(const InstanceId& from, wire::ExecuteReply reply);

  /// Ends the outstanding dispatches to `instance`, which is known to be lost, with kPeerLost.
  void OnPeerLost(const InstanceId& instance);

  /// Ends the dispatch of `entry`, for which no caller waits any more, with kCancelled (unknown
  /// outcome) and notifies the executor. Does nothing if the entry is not being dispatched.
  void Cancel(LedgerEntry& entry);

  /// Number of outstanding dispatches.
  std::size_t Outstanding() const { return this->dispatches.size(); }
  const DispatchCounts& Counts() const { return this->counts; }

 private:
  class Pending;

  std::unique_ptr<Pending> Remove(std::uint64_t sequence);
  void Send(std::unique_ptr<Pending> pending);
  /// Returns the time to wait for the reply of the attempt that is about to be sent.
  Duration ReplyTimeout(const Pending& pending, TimePoint now);
  void OnTimeout(std::uint64_t sequence, TimePoint now);
  void OnFailure(std::unique_ptr<Pending> pending, const ActionResult& failure);
  void End(std::unique_ptr<Pending> pending, ActionResult result);
  void SendCancel(const Pending& pending);
  /// Counts the whole grant as used, because the number of used attempts is not known.
  static void SpendGrant(Pending& pending);

  const DispatchSettings settings;
  const std::uint64_t home_incarnation;
  const Clock& clock;
  TimerService& timers;
  ExecutionSender& sender;
  InstanceChooser& chooser;
  SenderRetryBudget& retry_budget;
  DispatchObserver& observer;
  std::uint64_t next_sequence = 1;
  // Outstanding dispatches by the sequence number of their execution key.
  std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> dispatches;
  DispatchCounts counts;
};

}  // namespace masticpin
