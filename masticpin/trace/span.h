#pragma once

#include <array>
#include <boost/container/static_vector.hpp>
#include <boost/static_string/static_string.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/trace/trace_context.h"

namespace masticpin {

/// What a node did with a request.
enum class SpanDecision : std::uint8_t {
  kNone,
  /// Dispatched to the local upstream.
  kAdmitted,
  /// Sent to another node.
  kForwarded,
  /// Joined an execution that was already running.
  kJoined,
  /// Answered with a stored response.
  kReplayed,
  kRefused,
};

/// Returns the lower-case name of `decision`.
std::string_view SpanDecisionName(SpanDecision decision);

/// Record of one hop of a request. All members are stored inline, so recording a span does not
/// allocate; texts that do not fit are truncated.
struct Span {
  /// Fits "service/kind" with names of the maximum length.
  static constexpr std::size_t kMaxNameLength = 127;
  static constexpr std::size_t kMaxValueLength = 63;
  static constexpr std::size_t kMaxAttributes = 4;

  struct Attribute {
    /// Must have static storage duration.
    std::string_view key;
    boost::static_strings::static_string<kMaxValueLength> value;
  };

  boost::static_strings::static_string<kMaxNameLength> name;
  /// Trace id and span id of this span.
  TraceContext context;
  /// Id of the caller's span; all zeros for a root span.
  std::array<std::uint8_t, 8> parent_span_id{};
  TimePoint start{};
  TimePoint end{};
  /// Wall-clock time at `start`, for display only.
  std::chrono::system_clock::time_point wall_start{};
  SpanDecision decision = SpanDecision::kNone;
  /// Number of attempts of this request by this node; 0 if there was none.
  std::uint32_t attempt = 0;
  /// nullopt if the response was complete.
  std::optional<ErrorKind> error;
  boost::container::static_vector<Attribute, kMaxAttributes> attributes;

  Duration Length() const { return this->end - this->start; }

  void SetName(std::string_view text);

  /// Adds an attribute. Attributes beyond kMaxAttributes are dropped.
  void AddAttribute(std::string_view key, std::string_view value);
};

}  // namespace masticpin
