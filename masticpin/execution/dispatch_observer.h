#pragma once

#include <cstdint>

#include "masticpin/execution/action_result.h"
#include "masticpin/execution/ledger_entry.h"

namespace masticpin {

/// Receives the results of dispatches and passes each one to Finish() of the table that holds the
/// entry: the ActionLedger or the InnerCallTable.
class DispatchObserver {
 public:
  virtual ~DispatchObserver() = default;

  /// Called once for each Dispatch(), possibly before Dispatch() returns. `attempts_used` have
  /// already been deducted from the entry's budget.
  virtual void OnDispatched(LedgerEntry& entry,
                            const ActionResult& result,
                            std::uint32_t attempts_used) = 0;
};

}  // namespace masticpin
