#pragma once

#include <string>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// One call of an upstream to another service.
struct InnerCall {
  /// "service/kind".
  std::string target;
  std::string action;
  std::string context;
  std::string step;
  std::string traceparent;
  Duration time_left{};
};

/// How an inner call ended.
enum class InnerOutcome : std::uint8_t {
  /// Complete, and the callee committed something.
  kCommitted,
  /// Complete, without any effect at the callee.
  kReadOnly,
  kNotRun,
  kUnknown,
};

/// Sends the inner calls of an upstream.
class InnerCaller {
 public:
  virtual ~InnerCaller() = default;

  /// Waits for the result, at most for the call's `time_left`.
  virtual InnerOutcome Call(const InnerCall& call) = 0;
};

}  // namespace masticpin::standins
