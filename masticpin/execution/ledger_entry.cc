#include "masticpin/execution/ledger_entry.h"

#include <algorithm>

#include "masticpin/error/error_info.h"
#include "masticpin/execution/execution_context.h"

namespace masticpin {

LedgerEntry::LedgerEntry(const ActionParameters& parameters, Ref<ExecutionContext> parent)
    : parent(std::move(parent)),
      own_budget(this->parent ? 0 : parameters.attempts),
      cost(std::max<std::uint32_t>(parameters.cost, 1)),
      tries_left(
          static_cast<std::uint8_t>(std::clamp<std::uint32_t>(parameters.caller_tries, 1, 255))),
      idempotent(parameters.idempotent) {}

LedgerEntry::~LedgerEntry() = default;

AttemptBudget& LedgerEntry::Budget() {
  return this->parent ? this->parent->Budget() : this->own_budget;
}

ErrorKind LedgerEntry::ErrorToReport(ErrorKind error) const {
  return IsNotRun(error) ? this->unknown_outcome.value_or(error) : error;
}

bool LedgerEntry::CanStartAgain() {
  return this->tries_left > 0 && this->Budget().Held() >= this->cost;
}

void LedgerEntry::Notify(const ActionResult& result) {
  // A waiter may start the action again, so only the waiters of the finished run are called.
  Waiters finished;
  finished.swap(this->waiters);
  while (!finished.empty()) {
    LedgerWaiter& waiter = finished.front();
    finished.pop_front();
    waiter.OnFinished(*this, result);
  }
}

}  // namespace masticpin
