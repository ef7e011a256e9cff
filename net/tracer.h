#pragma once

#include <string>
#include <string_view>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/trace/span.h"
#include "masticpin/trace/span_store.h"

namespace masticpin {

/// Begins and ends the spans of a node. Thread-safe if the random source is.
class Tracer {
 public:
  /// `clock` and `random` must outlive the tracer.
  Tracer(const Clock& clock, RandomSource& random);

  /// Begins the span of one hop. `traceparent` is the value received with the request; if it is
  /// missing or not valid, the span begins a new trace.
  Span Begin(std::string_view service, std::string_view kind, std::string_view traceparent);

  /// Ends a span and stores it.
  void End(Span& span, std::optional<ErrorKind> error);

  const SpanStore& Store() const { return this->store; }

 private:
  const Clock& clock;
  RandomSource& random;
  SpanStore store;
};

}  // namespace masticpin
