#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set_hook.hpp>
#include <cstdint>
#include <optional>

#include "masticpin/attempts/attempt_budget.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/execution/ledger_waiter.h"
#include "masticpin/execution/stored_response.h"

namespace masticpin {

class ExecutionContext;

/// Parameters of an action, as set in the manifest.
struct ActionParameters {
  bool idempotent = false;
  /// Maximum number of attempts of the whole action.
  std::uint32_t attempts = 1;
  /// Maximum number of tries of the caller, including the first one; at most 255.
  std::uint32_t caller_tries = 1;
  /// Attempts that one complete run needs.
  std::uint32_t cost = 1;
};

/// Entry of one action or one inner call. The dispatcher and the waiting calls hold references to
/// it.
class LedgerEntry : public RefCounted<LedgerEntry> {
 public:
  /// Creates an entry with its own attempts or, if `parent` is set, with those of the parent
  /// execution.
  explicit LedgerEntry(const ActionParameters& parameters, Ref<ExecutionContext> parent = {});
  ~LedgerEntry();
  LedgerEntry(const LedgerEntry&) = delete;
  LedgerEntry& operator=(const LedgerEntry&) = delete;

  bool Idempotent() const { return this->idempotent; }
  /// Whether this is the entry of an inner call, which an InnerCallTable finishes, not of an
  /// action.
  bool IsInner() const { return this->parent != nullptr; }
  std::uint32_t Cost() const { return this->cost; }
  bool Running() const { return this->state == State::kRunning; }

  /// False when no caller waits any more, so that the run may be cancelled.
  bool HasWaiters() const { return !this->waiters.empty(); }

  /// Budget from which the dispatches of this entry take their attempts.
  AttemptBudget& Budget();

  /// Whether a dispatch of an earlier or the current try may have run.
  bool MayHaveRun() const { return this->unknown_outcome.has_value(); }

  /// Records that a dispatch ended with an unknown outcome. From then on no refusal of this entry
  /// may be reported as "not run".
  void RecordUnknownOutcome(ErrorKind kind) {
    this->unknown_outcome = this->unknown_outcome.value_or(kind);
  }

  /// Returns the error to report when a dispatch or request ends with `error`: a refusal after an
  /// unknown outcome is reported as that unknown outcome.
  ErrorKind ErrorToReport(ErrorKind error) const;

 private:
  friend class ActionLedger;
  friend class InnerCallTable;

  enum class State : std::uint8_t {
    // May be started by the next request.
    kStartable,
    kRunning,
    // Complete; the response may be stored.
    kComplete,
    // Ended with an unknown outcome; never run again.
    kUnknown,
    // Refused, and the attempts or the caller's tries are used up.
    kExhausted,
  };

  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  using Waiters = boost::intrusive::list<LedgerWaiter, boost::intrusive::constant_time_size<false>>;

  /// Calls and removes all waiters.
  void Notify(const ActionResult& result);
  bool CanStartAgain();

  // Hooks for the containers of the ledger: hash table, expiry list of the epoch, list of stored
  // responses.
  boost::intrusive::unordered_set_member_hook<> by_sequence;
  Hook by_epoch;
  Hook by_response;
  Waiters waiters;
  Ref<const StoredResponse> response;
  Ref<ExecutionContext> parent;
  AttemptBudget own_budget;
  std::uint64_t sequence = 0;
  std::uint32_t epoch = 0;
  std::uint32_t cost;
  std::uint8_t generation = 0;
  std::uint8_t tries_left;
  State state = State::kStartable;
  bool idempotent;
  std::optional<ErrorKind> unknown_outcome;
};

}  // namespace masticpin
