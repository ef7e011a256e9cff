#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"

namespace masticpin {

/// Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
  /// The response is complete.
  kComplete = 0,
  /// The request was not run and will not be run.
  kNotRun = 1,
  /// The request may have been run.
  kUnknown = 2,
};

/// When a caller may retry the request.
enum class CallerRetry : std::uint8_t {
  kNever,
  kAtOnce,
  kAfterDelay,
  /// Only if the request kind is idempotent.
  kIfIdempotent,
};

/// Properties of one error kind, and how it is reported to the caller.
struct ErrorInfo {
  ErrorKind kind;
  /// Name used in responses, logs and metrics.
  std::string_view name;
  /// Human-readable sentence for the response.
  std::string_view text;
  int http_status;
  Outcome outcome;
  CallerRetry caller_retry;
  /// Whether the node that sent the request may retry it at another instance.
  bool retry_elsewhere;
};

/// Returns the properties of `kind`.
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// Returns the value of the Masticpin-Outcome header.
std::string_view OutcomeName(Outcome outcome);

/// Returns true if a request that failed with `kind` certainly did not run.
inline bool IsNotRun(ErrorKind kind) {
  return GetErrorInfo(kind).outcome == Outcome::kNotRun;
}

}  // namespace masticpin
