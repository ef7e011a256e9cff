#include "masticpin/trace/span_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "masticpin/error/error_info.h"

namespace masticpin {
namespace {

using nlohmann::json;

// Enumerator values from opentelemetry/proto/trace/v1/trace.proto.
constexpr int kOtlpKindServer = 2;
constexpr int kOtlpStatusOk = 1;
constexpr int kOtlpStatusError = 2;

json ToAttribute(std::string_view key, std::string_view value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

// The protobuf JSON mapping encodes 64-bit integers as strings.
std::string ToUnixNano(std::chrono::system_clock::time_point time) {
  const auto since_epoch = std::chrono::duration_cast<Duration>(time.time_since_epoch());
  return std::to_string(since_epoch.count());
}

json ToOtlp(const Span& span) {
  json attributes = json::array();
  attributes.push_back(ToAttribute("masticpin.decision", SpanDecisionName(span.decision)));
  attributes.push_back(
      {{"key", "masticpin.attempt"}, {"value", {{"intValue", std::to_string(span.attempt)}}}});
  if (span.error) {
    attributes.push_back(ToAttribute("masticpin.error", GetErrorInfo(*span.error).name));
  }
  for (const Span::Attribute& attribute : span.attributes) {
    attributes.push_back(ToAttribute(
        attribute.key, std::string_view(attribute.value.data(), attribute.value.size())));
  }
  json result = {
      {"traceId", ToHex(span.context.trace_id)},
      {"spanId", ToHex(span.context.span_id)},
      {"name", std::string_view(span.name.data(), span.name.size())},
      {"kind", kOtlpKindServer},
      {"startTimeUnixNano", ToUnixNano(span.wall_start)},
      {"endTimeUnixNano", ToUnixNano(span.wall_start + span.Length())},
      {"attributes", std::move(attributes)},
      {"status", {{"code", span.error ? kOtlpStatusError : kOtlpStatusOk}}},
  };
  if (span.parent_span_id != std::array<std::uint8_t, 8>{}) {
    result["parentSpanId"] = ToHex(span.parent_span_id);
  }
  return result;
}

bool Matches(const Span& span, std::string_view filter) {
  // The filter is truncated like the recorded values, so that truncated values match too.
  const std::string_view value = filter.substr(0, Span::kMaxValueLength);
  return ToHex(span.context.trace_id) == filter ||
         std::any_of(span.attributes.begin(), span.attributes.end(),
                     [value](const Span::Attribute& attribute) {
                       return std::string_view(attribute.value.data(), attribute.value.size()) ==
                              value;
                     });
}

}  // namespace

SpanStore::SpanStore(const SpanStoreSettings& settings) : slow_threshold(settings.slow_threshold) {
  this->ordinary.capacity = settings.ordinary_capacity;
  this->ordinary.spans.reserve(settings.ordinary_capacity);
  this->notable.capacity = settings.notable_capacity;
  this->notable.spans.reserve(settings.notable_capacity);
}

void SpanStore::Add(const Span& span) {
  const std::lock_guard lock(this->mutex);
  Ring& ring = this->IsNotable(span) ? this->notable : this->ordinary;
  if (ring.spans.size() < ring.capacity) {
    ring.spans.push_back(span);
    return;
  }
  ++this->overwritten;
  if (ring.capacity > 0) {
    ring.spans[ring.next] = span;
    ring.next = (ring.next + 1) % ring.capacity;
  }
}

std::vector<Span> SpanStore::Snapshot() const {
  std::vector<Span> spans;
  {
    const std::lock_guard lock(this->mutex);
    spans.reserve(this->ordinary.spans.size() + this->notable.spans.size());
    spans.insert(spans.end(), this->ordinary.spans.begin(), this->ordinary.spans.end());
    spans.insert(spans.end(), this->notable.spans.begin(), this->notable.spans.end());
  }
  std::stable_sort(spans.begin(), spans.end(),
                   [](const Span& a, const Span& b) { return a.wall_start < b.wall_start; });
  return spans;
}

std::string SpanStore::ExportOtlpJson(std::string_view service,
                                      std::string_view instance,
                                      std::string_view filter) const {
  json spans = json::array();
  for (const Span& span : this->Snapshot()) {
    if (filter.empty() || Matches(span, filter)) {
      spans.push_back(ToOtlp(span));
    }
  }
  const json resource = {
      {"attributes", json::array({ToAttribute("service.name", service),
                                  ToAttribute("service.instance.id", instance)})}};
  const json scope_spans = {{"scope", {{"name", "masticpin"}}}, {"spans", std::move(spans)}};
  const json request = {
      {"resourceSpans",
       json::array({{{"resource", resource}, {"scopeSpans", json::array({scope_spans})}}})}};
  // A truncated text may end inside a UTF-8 sequence.
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::uint64_t SpanStore::Overwritten() const {
  const std::lock_guard lock(this->mutex);
  return this->overwritten;
}

bool SpanStore::IsNotable(const Span& span) const {
  return span.error.has_value() || span.decision == SpanDecision::kRefused ||
         span.Length() >= this->slow_threshold;
}

}  // namespace masticpin
