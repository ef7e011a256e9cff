#pragma once

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

/// What an execution passes on to its inner calls.
struct ContextTerms {
  /// Attempts granted to the execution.
  std::uint32_t attempts = 1;
  Priority priority;
  TimePoint deadline;
  /// Text of the root action's key, for logs and traces.
  std::string action;
  std::string traceparent;
};

/// One running execution on this node, as its upstream names it in the Masticpin-Context header.
class ExecutionContext : public RefCounted<ExecutionContext> {
 public:
  ExecutionContext(std::string token, ContextTerms terms)
      : token(std::move(token)), terms(std::move(terms)), budget(this->terms.attempts) {}

  /// Value of the Masticpin-Context header.
  const std::string& Token() const { return this->token; }
  const ContextTerms& Terms() const { return this->terms; }
  /// The executor spends one attempt for its upstream; inner calls take grants from the rest.
  AttemptBudget& Budget() { return this->budget; }
  bool Open() const { return this->open; }

 private:
  friend class InnerCallTable;

  // Service, kind and step.
  using InnerKey = std::tuple<std::string, std::string, std::string>;

  const std::string token;
  const ContextTerms terms;
  AttemptBudget budget;
  // Entries of the non-idempotent inner calls; a handful for each execution.
  std::map<InnerKey, Ref<LedgerEntry>> inner;
  bool open = true;
};

}  // namespace masticpin
