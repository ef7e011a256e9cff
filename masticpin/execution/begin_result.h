#pragma once

#include <cstdint>
#include <optional>

#include "masticpin/base/ref_counted.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/execution/action_key.h"
#include "masticpin/execution/ledger_entry.h"
#include "masticpin/execution/stored_response.h"

namespace masticpin {

enum class BeginDecision : std::uint8_t {
  /// The caller of Begin() must dispatch the action and then call Finish() with `entry`. Finish()
  /// calls the waiter.
  kStart,
  /// The action is running; the waiter will be called.
  kJoined,
  /// The action is complete; `response` is its stored response.
  kReplay,
  /// The request is refused with `error`; `successor` is set if the action may be retried with that
  /// key.
  kRefused,
};

/// Decision about one request and the data that belongs to it.
struct BeginResult {
  BeginDecision decision = BeginDecision::kRefused;
  /// Set with kStart and kJoined.
  Ref<LedgerEntry> entry;
  /// Set with kReplay.
  Ref<const StoredResponse> response;
  /// Set with kRefused.
  ErrorKind error = ErrorKind::kInternal;
  std::optional<ActionKey> successor;

  static BeginResult Refused(ErrorKind error, std::optional<ActionKey> successor = {}) {
    BeginResult result;
    result.error = error;
    result.successor = std::move(successor);
    return result;
  }
};

}  // namespace masticpin
