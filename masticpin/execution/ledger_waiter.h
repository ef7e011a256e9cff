#pragma once

#include <boost/intrusive/list_hook.hpp>

#include "masticpin/execution/action_result.h"

namespace masticpin {

class LedgerEntry;

/// A call that waits for the end of an action. It stops waiting when it is destroyed.
class LedgerWaiter : public boost::intrusive::list_base_hook<
                         boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  LedgerWaiter() = default;
  LedgerWaiter(const LedgerWaiter&) = delete;
  LedgerWaiter& operator=(const LedgerWaiter&) = delete;
  virtual ~LedgerWaiter() = default;

  /// Called at most once for each Begin(). An implementation may destroy this waiter and call the
  /// ledger.
  virtual void OnFinished(LedgerEntry& entry, const ActionResult& result) = 0;

  /// Stops waiting, because the caller has disconnected or its deadline has passed.
  void StopWaiting() {
    if (this->is_linked()) {
      this->unlink();
    }
  }
};

}  // namespace masticpin
