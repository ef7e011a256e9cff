#include "net/tracer.h"

namespace masticpin {

Tracer::Tracer(const Clock& clock, RandomSource& random)
    : clock(clock), random(random), store(SpanStoreSettings()) {}

Span Tracer::Begin(std::string_view service, std::string_view kind, std::string_view traceparent) {
  Span span;
  span.SetName(std::string(service) + "/" + std::string(kind));
  span.start = this->clock.Now();
  span.wall_start = std::chrono::system_clock::now();
  const std::optional<TraceContext> parent = TraceContext::Parse(traceparent);
  if (parent.has_value()) {
    span.parent_span_id = parent->span_id;
    span.context = parent->MakeChild(this->random);
  } else {
    span.context = TraceContext::MakeRoot(this->random, /*sampled=*/true);
  }
  return span;
}

void Tracer::End(Span& span, std::optional<ErrorKind> error) {
  span.end = this->clock.Now();
  span.error = error;
  this->store.Add(span);
}

}  // namespace masticpin
