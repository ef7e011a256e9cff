#include "masticpin/attempts/retry_policy.h"

#include "masticpin/error/error_info.h"

namespace masticpin {

RetryDecision RetryPolicy::Decide(const RetryContext& context, SenderRetryBudget& retry_budget) {
  // A non-idempotent request that may have run is not retried, because the retry could execute it a
  // second time.
  const ErrorInfo& error_info = GetErrorInfo(context.error);
  if (error_info.outcome != Outcome::kNotRun && !context.idempotent) {
    return RetryDecision::kGiveUp;
  }
  if (!error_info.retry_elsewhere || context.attempts_left < context.cost ||
      context.time_left <= context.expected_time) {
    return RetryDecision::kGiveUp;
  }
  return retry_budget.TryRetry() ? RetryDecision::kRetryElsewhere : RetryDecision::kGiveUp;
}

}  // namespace masticpin
