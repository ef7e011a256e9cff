#pragma once

#include <condition_variable>
#include <optional>

#include "masticpin/execution/action_result.h"
#include "masticpin/execution/ledger_waiter.h"

namespace masticpin {

/// Lets a thread wait for the end of an action. Must be used within a NodeCore::CriticalSection.
class CallerWaiter : public LedgerWaiter {
 public:
  void OnFinished(LedgerEntry& entry, const ActionResult& result) override {
    (void)entry;
    this->result = result;
    this->finished.notify_one();
  }

  std::optional<ActionResult> result;
  std::condition_variable finished;
};

}  // namespace masticpin
