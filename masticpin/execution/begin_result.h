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
  /// The caller of Begin() must dispatch the action and then call Finish() with `entry`. The waiter
  /// is called when it does.
  kStart,
  /// The action is running; the waiter will be called.
  kJoined,
  /// The action is complete; `response` is the answer.
  kReplay,
  /// `error` is the answer, with `successor` if the action may be repeated under that key.
  kRefused,
};

/// Decision about one request.
struct BeginResult {
  BeginDecision decision = BeginDecision::kRefused;
  /// With kStart and kJoined.
  Ref<LedgerEntry> entry;
  /// With kReplay.
  Ref<const StoredResponse> response;
  /// With kRefused.
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
