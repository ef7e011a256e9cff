#include "masticpin/attempts/retry_policy.h"

#include "masticpin/error/answer_table.h"

namespace masticpin {

RetryDecision RetryPolicy::Decide(const RetryQuestion& question, RetryRatio& ratio) {
  // An unknown outcome of a non-idempotent request ends it: a second run could double it.
  const Answer& answer = GetAnswer(question.error);
  if (answer.outcome != Outcome::kNotRun && !question.idempotent) {
    return RetryDecision::kGiveUp;
  }
  if (!answer.retry_elsewhere || question.attempts_left < question.cost ||
      question.time_left <= question.expected_time) {
    return RetryDecision::kGiveUp;
  }
  return ratio.TryRetry() ? RetryDecision::kRetryElsewhere : RetryDecision::kGiveUp;
}

}  // namespace masticpin
