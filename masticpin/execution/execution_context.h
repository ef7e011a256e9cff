#pragma once

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "masticpin/admission/priority.h"
#include "masticpin/attempts/attempt_budget.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"
#include "masticpin/execution/ledger_entry.h"

namespace masticpin {

/// Data of an execution that its inner calls inherit.
struct ContextParameters {
  /// Attempts granted to the execution.
  std::uint32_t attempts = 1;
  Priority priority;
  TimePoint deadline;
  /// Text of the root action's key, for logs and traces.
  std::string action;
  std::string traceparent;
};

/// One running execution on this node. Its upstream identifies it by the Masticpin-Context header.
class ExecutionContext : public RefCounted<ExecutionContext> {
 public:
  ExecutionContext(std::string token, ContextParameters parameters)
      : token(std::move(token)),
        parameters(std::move(parameters)),
        budget(this->parameters.attempts) {}

  /// Value of the Masticpin-Context header.
  const std::string& Token() const { return this->token; }
  const ContextParameters& Parameters() const { return this->parameters; }
  /// The executor spends one attempt on the call to its upstream; inner calls take grants from the
  /// rest.
  AttemptBudget& Budget() { return this->budget; }
  bool Open() const { return this->open; }

  /// Called when an inner call begins or ends. The time during which at least one inner call runs
  /// is not processing time of the upstream itself.
  void OnInnerBegan(TimePoint now) {
    if (this->inner_running++ == 0) {
      this->inner_since = now;
    }
  }
  void OnInnerEnded(TimePoint now) {
    if (--this->inner_running == 0) {
      this->inner_time += now - this->inner_since;
    }
  }

  /// Time spent in inner calls that have ended.
  Duration InnerTime() const { return this->inner_time; }

  /// Called when an inner call was refused; `retry_after` is the delay given in the refusal.
  void OnInnerRefused(Duration retry_after) {
    this->inner_refused = true;
    this->inner_retry_after = std::max(this->inner_retry_after, retry_after);
  }
  bool InnerRefused() const { return this->inner_refused; }
  Duration InnerRetryAfter() const { return this->inner_retry_after; }

 private:
  friend class InnerCallTable;

  // Service, kind and step.
  using InnerKey = std::tuple<std::string, std::string, std::string>;

  const std::string token;
  const ContextParameters parameters;
  AttemptBudget budget;
  // Entries of the non-idempotent inner calls; usually only a few for each execution.
  std::map<InnerKey, Ref<LedgerEntry>> inner;
  bool open = true;
  std::uint32_t inner_running = 0;
  TimePoint inner_since{};
  Duration inner_time{};
  bool inner_refused = false;
  Duration inner_retry_after{};
};

}  // namespace masticpin
