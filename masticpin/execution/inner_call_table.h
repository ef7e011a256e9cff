#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "masticpin/base/random_source.h"
#include "masticpin/execution/begin_result.h"
#include "masticpin/execution/execution_context.h"

namespace masticpin {

/// Summary of an execution that has ended.
struct ContextSummary {
  /// Attempts used by the execution; attempts still granted to inner calls count as used.
  std::uint32_t attempts_used = 0;
  /// Whether a non-idempotent inner call ran or may have run. If so, a "not run" reported by the
  /// upstream must not be trusted: a second run of the execution would repeat the inner call.
  bool inner_may_have_run = false;
};

/// One inner call, as described by the upstream that makes it.
struct InnerCall {
  std::string service;
  std::string kind;
  /// Value of Masticpin-Step, often empty.
  std::string step;
  bool idempotent = false;
  /// Attempts that one complete run needs.
  std::uint32_t cost = 1;
};

/// The executions that run on this node and the inner calls that they made.
class InnerCallTable {
 public:
  /// `random` supplies the context tokens (128 bits each), which must not be guessable.
  explicit InnerCallTable(RandomSource& random) : random(random) {}
  ~InnerCallTable();
  InnerCallTable(const InnerCallTable&) = delete;
  InnerCallTable& operator=(const InnerCallTable&) = delete;

  /// Opens the context of an execution that is about to start on the upstream.
  Ref<ExecutionContext> Open(ContextParameters parameters);

  /// Returns the context with this Masticpin-Context value, or null if its execution has ended.
  Ref<ExecutionContext> Find(std::string_view token) const;

  /// Decides how to handle one inner call. A non-idempotent call with the same service, kind and
  /// step as an earlier one joins it or gets its response; an idempotent call always starts.
  /// Refusals: kCancelledBeforeStart (the execution has ended), kAttemptsExhausted, kLedgerFull
  /// (the execution has made too many distinct calls), kAlreadyComplete, or the unknown outcome
  /// with which the call ended.
  BeginResult BeginInner(std::string_view token, const InnerCall& call, LedgerWaiter& waiter);

  /// Ends an inner call and calls its waiters. After a "not run" error the upstream may retry the
  /// step.
  void Finish(LedgerEntry& entry, ActionResult result);

  /// Ends an execution. Its later inner calls are refused.
  ContextSummary Close(ExecutionContext& context);

  /// Number of open executions.
  std::size_t Size() const { return this->contexts.size(); }

 private:
  RandomSource& random;
  std::unordered_map<std::string_view, Ref<ExecutionContext>> contexts;
};

}  // namespace masticpin
