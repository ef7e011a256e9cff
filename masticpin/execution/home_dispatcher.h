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

/// What is dispatched.
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
  /// Replies without a waiting dispatch: late, duplicate, or from the wrong executor.
  std::uint64_t dropped_replies = 0;
};

/// Runs the dispatches of started entries: chooses an executor, sends the request, and after a
/// failure tries a sibling if that is safe and can help. At most one execution of a non-idempotent
/// entry is outstanding, and it is sent again only after a truthful "not run".
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

  /// Takes a reply that `from` sent. A reply that matches no outstanding execution is dropped.
  void OnReply(const InstanceId& from, wire::ExecuteReply reply);

  /// Ends the outstanding dispatches to `instance`, which is known to be gone, with kPeerLost.
  void OnPeerLost(const InstanceId& instance);

  /// Ends the dispatch of `entry`, for which nobody waits, with kCancelled (unknown outcome), and
  /// tells the executor. Does nothing if the entry is not being dispatched.
  void Cancel(LedgerEntry& entry);

  /// Number of outstanding dispatches.
  std::size_t Outstanding() const { return this->dispatches.size(); }
  const DispatchCounts& Counts() const { return this->counts; }

 private:
  class Pending;

  std::unique_ptr<Pending> Remove(std::uint64_t sequence);
  void Send(std::unique_ptr<Pending> pending);
  void OnTimeout(std::uint64_t sequence, TimePoint now);
  void OnFailure(std::unique_ptr<Pending> pending, const ActionResult& failure);
  void End(std::unique_ptr<Pending> pending, ActionResult result);
  void SendCancel(const Pending& pending);
  /// Counts the whole grant as used, because nobody reports what was used.
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
  // By the sequence number of the outstanding execution key.
  std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> dispatches;
  DispatchCounts counts;
};

}  // namespace masticpin
