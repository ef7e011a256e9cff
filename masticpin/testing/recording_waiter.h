#pragma once

#include <vector>

#include "masticpin/execution/ledger_entry.h"
#include "masticpin/execution/ledger_waiter.h"

namespace masticpin {

/// Waiter that records the results that it receives.
class RecordingWaiter : public LedgerWaiter {
 public:
  void OnFinished(LedgerEntry& /*entry*/, const ActionResult& result) override {
    this->results.push_back(result);
  }

  std::vector<ActionResult> results;
};

/// Returns the result of an action that is complete with `body`.
inline ActionResult CompleteWith(std::string body) {
  wire::HttpResponse message;
  message.set_status(200);
  message.set_body(std::move(body));
  return ActionResult::Complete(Ref<const StoredResponse>(new StoredResponse(std::move(message))));
}

}  // namespace masticpin
