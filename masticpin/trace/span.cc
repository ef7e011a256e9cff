#include "masticpin/trace/span.h"

#include <algorithm>

namespace masticpin {

std::string_view SpanDecisionName(SpanDecision decision) {
  switch (decision) {
    case SpanDecision::kNone:
      return "none";
    case SpanDecision::kAdmitted:
      return "admitted";
    case SpanDecision::kForwarded:
      return "forwarded";
    case SpanDecision::kJoined:
      return "joined";
    case SpanDecision::kReplayed:
      return "replayed";
    case SpanDecision::kRefused:
      return "refused";
  }
  return "none";
}

void Span::SetName(std::string_view text) {
  this->name.assign(text.data(), std::min(text.size(), kMaxNameLength));
}

void Span::AddAttribute(std::string_view key, std::string_view value) {
  if (this->attributes.size() < kMaxAttributes) {
    this->attributes.push_back({key, {}});
    this->attributes.back().value.assign(value.data(), std::min(value.size(), kMaxValueLength));
  }
}

}  // namespace masticpin
