#pragma once

#include <chrono>
#include <optional>

#include "masticpin/base/ref_counted.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/execution/action_key.h"
#include "masticpin/execution/stored_response.h"

namespace masticpin {

/// How an action ended. Exactly one of `response` and `error` is set.
struct ActionResult {
  /// The complete response.
  Ref<const StoredResponse> response;
  std::optional<ErrorKind> error;
  /// Delay after which a retry may succeed; only with `error`.
  std::chrono::milliseconds retry_after{};
  /// Key for retrying a refused action, set by the ledger.
  std::optional<ActionKey> successor;

  static ActionResult Complete(Ref<const StoredResponse> response) {
    return {.response = std::move(response), .error = {}, .retry_after = {}, .successor = {}};
  }
  static ActionResult Failed(ErrorKind error, std::chrono::milliseconds retry_after = {}) {
    return {.response = {}, .error = error, .retry_after = retry_after, .successor = {}};
  }
};

}  // namespace masticpin
