#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"

namespace masticpin {

/// What a caller is told about its request.
enum class Outcome : std::uint8_t {
  /// The whole answer is in the response.
  kComplete = 0,
  /// The request was not run and will not be run.
  kNotRun = 1,
  /// The request may have been run.
  kUnknown = 2,
};

/// When a caller may send the request again.
enum class CallerRetry : std::uint8_t {
  kNever,
  kAtOnce,
  kAfterDelay,
  /// Only if the request kind is idempotent.
  kIfIdempotent,
};

/// The answer that belongs to one error kind.
struct ErrorInfo {
  ErrorKind kind;
  /// Name used in responses, logs and metrics.
  std::string_view name;
  /// One sentence for people.
  std::string_view text;
  int http_status;
  Outcome outcome;
  CallerRetry caller_retry;
  /// Whether another instance may be tried by the node that sent the request.
  bool retry_elsewhere;
};

/// Returns the answer for `kind`.
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// Returns the value of the Masticpin-Outcome header.
std::string_view OutcomeName(Outcome outcome);

/// Returns true if a request that ended with `kind` certainly did not run.
inline bool IsNotRun(ErrorKind kind) {
  return GetErrorInfo(kind).outcome == Outcome::kNotRun;
}

}  // namespace masticpin
