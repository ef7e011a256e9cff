#pragma once

#include <string>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// A call that an upstream makes to another service while it handles a request.
struct InnerCall {
  /// "service/kind".
  std::string target;
  /// Values of the headers Masticpin-Action, Masticpin-Context, Masticpin-Step and traceparent.
  /// `step` is empty for the first call to `target`.
  std::string action;
  std::string context;
  std::string step;
  std::string traceparent;
  Duration time_left{};
};

/// Outcome of an inner call, as far as the upstream knows.
enum class InnerOutcome : std::uint8_t {
  /// Complete, and the callee committed something.
  kCommitted,
  /// Complete, and the callee committed nothing.
  kReadOnly,
  kNotRun,
  kUnknown,
};

/// Sends the inner calls of an upstream.
class InnerCaller {
 public:
  virtual ~InnerCaller() = default;

  /// Blocks until the call ends, at most for its `time_left`.
  virtual InnerOutcome Call(const InnerCall& call) = 0;
};

}  // namespace masticpin::standins
