#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticpin/base/random_source.h"

namespace masticpin {

/// Identifies a span of a trace, as in the W3C header `traceparent`.
struct TraceContext {
  /// Length of the string that Format() returns.
  static constexpr std::size_t kFormattedLength = 55;

  std::array<std::uint8_t, 16> trace_id{};
  std::array<std::uint8_t, 8> span_id{};
  /// Whether the caller may have recorded its span (the sampled flag).
  bool sampled = false;

  bool operator==(const TraceContext&) const = default;

  /// Parses a `traceparent` value. Returns nullopt if it is invalid; the caller then starts a new
  /// trace. As the specification requires, only the known fields are read from versions after 00.
  static std::optional<TraceContext> Parse(std::string_view header);

  /// Returns the context of the first span of a new trace.
  static TraceContext MakeRoot(RandomSource& random, bool sampled);

  /// Returns the context of a new span in the same trace.
  TraceContext MakeChild(RandomSource& random) const;

  /// Returns the `traceparent` value in the format of version 00.
  std::string Format() const;
};

/// Returns `bytes` as lower-case hexadecimal digits.
template <std::size_t kSize>
std::string ToHex(const std::array<std::uint8_t, kSize>& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * kSize);
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

}  // namespace masticpin
