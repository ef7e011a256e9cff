#include "masticpin/trace/trace_context.h"

#include <algorithm>
#include <span>

namespace masticpin {
namespace {

// The lowest bit of the flags; version 00 does not define the other bits.
constexpr std::uint8_t kSampledFlag = 0x01;

// Returns the value of a lower-case hexadecimal digit, or -1 for other characters; the
// specification forbids upper case.
int DigitValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

// Parses 2 * bytes.size() digits; returns false if one of them is invalid.
bool ParseHex(std::string_view digits, std::span<std::uint8_t> bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const int high = DigitValue(digits[2 * i]);
    const int low = DigitValue(digits[2 * i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

bool IsZero(std::span<const std::uint8_t> bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

// Fills `bytes` with a random id. An id of all zeros is invalid, so it is drawn again.
void FillRandomId(RandomSource& random, std::span<std::uint8_t> bytes) {
  do {
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      bits = i % 8 == 0 ? random.Next() : bits >> 8U;
      bytes[i] = static_cast<std::uint8_t>(bits);
    }
  } while (IsZero(bytes));
}

}  // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view header) {
  // The format is version-trace_id-span_id-flags.
  if (header.size() < kFormattedLength || header[2] != '-' || header[35] != '-' ||
      header[52] != '-') {
    return std::nullopt;
  }
  TraceContext context;
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  if (!ParseHex(header.substr(0, 2), version) ||
      !ParseHex(header.substr(3, 32), context.trace_id) ||
      !ParseHex(header.substr(36, 16), context.span_id) || !ParseHex(header.substr(53, 2), flags)) {
    return std::nullopt;
  }
  // Version 255 is forbidden. Version 00 ends here; later versions may continue after another
  // hyphen.
  const bool longer = header.size() > kFormattedLength;
  if (version[0] == 0xFF || (longer && (version[0] == 0 || header[kFormattedLength] != '-'))) {
    return std::nullopt;
  }
  if (IsZero(context.trace_id) || IsZero(context.span_id)) {
    return std::nullopt;
  }
  context.sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

TraceContext TraceContext::MakeRoot(RandomSource& random, bool sampled) {
  TraceContext context;
  FillRandomId(random, context.trace_id);
  FillRandomId(random, context.span_id);
  context.sampled = sampled;
  return context;
}

TraceContext TraceContext::MakeChild(RandomSource& random) const {
  TraceContext child = *this;
  FillRandomId(random, child.span_id);
  return child;
}

std::string TraceContext::Format() const {
  return "00-" + ToHex(this->trace_id) + "-" + ToHex(this->span_id) +
         (this->sampled ? "-01" : "-00");
}

}  // namespace masticpin
