#pragma once

namespace masticpin {

/// Key of a root action; sent by the caller and returned in the response.
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// A new key for the caller's next action: "<key>; life=<seconds>".
inline constexpr char kNextKeyHeader[] = "Masticpin-Next-Key";
/// Outcome of a request: complete, not-run or unknown.
inline constexpr char kOutcomeHeader[] = "Masticpin-Outcome";
/// Name of the error kind, if the outcome is not complete.
inline constexpr char kErrorHeader[] = "Masticpin-Error";
/// Remaining time that the sender waits for the response, in milliseconds.
inline constexpr char kDeadlineHeader[] = "Masticpin-Deadline-Ms";
/// Identifies the execution for which an upstream makes inner calls.
inline constexpr char kContextHeader[] = "Masticpin-Context";
/// Distinguishes inner calls that an upstream makes more than once on purpose from retries.
inline constexpr char kStepHeader[] = "Masticpin-Step";
/// Key of the root action; sent to the upstream for its logs.
inline constexpr char kActionHeader[] = "Masticpin-Action";
/// Delay before a retry can succeed, in milliseconds.
inline constexpr char kRetryAfterMsHeader[] = "Retry-After-Ms";
/// W3C trace context.
inline constexpr char kTraceparentHeader[] = "traceparent";

}  // namespace masticpin
