#pragma once

#include <cstdint>

#include "masticpin/execution/action_result.h"
#include "masticpin/execution/ledger_entry.h"

namespace masticpin {

/// Gets the results of dispatches. The owner of the entry then calls Finish().
class DispatchObserver {
 public:
  virtual ~DispatchObserver() = default;

  /// Called once for each Dispatch(), possibly before it returns. `attempts_used` has already been
  /// taken from the entry's budget.
  virtual void OnDispatched(LedgerEntry& entry,
                            const ActionResult& result,
                            std::uint32_t attempts_used) = 0;
};

}  // namespace masticpin
