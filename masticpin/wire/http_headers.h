#pragma once

namespace masticpin {

/// Key of a root action, from and to the caller.
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// A fresh key for the caller's next action: "<key>; life=<seconds>".
inline constexpr char kNextKeyHeader[] = "Masticpin-Next-Key";
/// Outcome of a request: complete, not-run or unknown.
inline constexpr char kOutcomeHeader[] = "Masticpin-Outcome";
/// Name of the error kind of a response that is not complete.
inline constexpr char kErrorHeader[] = "Masticpin-Error";
/// Time that the sender still waits for the response, in milliseconds.
inline constexpr char kDeadlineHeader[] = "Masticpin-Deadline-Ms";
/// Names the execution on whose behalf an upstream makes its own calls.
inline constexpr char kContextHeader[] = "Masticpin-Context";
/// Distinguishes intended repetitions of one inner call.
inline constexpr char kStepHeader[] = "Masticpin-Step";
/// Key of the root action, towards the upstream, for its logs.
inline constexpr char kActionHeader[] = "Masticpin-Action";
/// Delay before a retry can help, in milliseconds.
inline constexpr char kRetryAfterMsHeader[] = "Retry-After-Ms";
/// W3C trace context.
inline constexpr char kTraceparentHeader[] = "traceparent";

}  // namespace masticpin
