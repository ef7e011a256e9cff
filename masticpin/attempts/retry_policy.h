#pragma once

#include <cstdint>

#include "masticpin/attempts/sender_retry_budget.h"
#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"

namespace masticpin {

enum class RetryDecision : std::uint8_t {
  kGiveUp,
  kRetryElsewhere,
};

/// What the sender of a failed request knows about it.
struct RetryContext {
  ErrorKind error = ErrorKind::kInternal;
  bool idempotent = false;
  /// Attempts held by the sender, and the number of attempts that one complete run needs.
  std::uint32_t attempts_left = 0;
  std::uint32_t cost = 1;
  /// Time until the caller's deadline, and the expected duration of one run.
  Duration time_left{};
  Duration expected_time{};
};

/// Decides whether the node that observed a failure retries the request at another instance.
class RetryPolicy {
 public:
  /// Counts the retry in `retry_budget` only if the result is kRetryElsewhere.
  static RetryDecision Decide(const RetryContext& context, SenderRetryBudget& retry_budget);
};

}  // namespace masticpin
