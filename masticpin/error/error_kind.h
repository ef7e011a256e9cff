#pragma once

#include <cstdint>

namespace masticpin {

/// All ways in which a request can end without a complete response. The properties of each kind are
/// in error_info.h. The numbers are part of the protocol between nodes.
enum class ErrorKind : std::uint8_t {
  kMalformedRequest = 1,
  kNotFound = 2,
  kBodyTooLarge = 3,
  kKeyRequired = 4,
  kKeyClosed = 5,
  kKeyInvalid = 6,
  kAlreadyComplete = 7,
  kOverloaded = 8,
  kDraining = 9,
  kLedgerFull = 10,
  kNoInstance = 11,
  kNoConfiguration = 12,
  kAttemptsExhausted = 13,
  kExpiredBeforeStart = 14,
  kUpstreamShed = 15,
  kUpstreamUnreachable = 16,
  kCancelledBeforeStart = 17,
  kWrongIncarnation = 18,
  kOutcomeLost = 19,
  kUpstreamBroken = 20,
  kDeadlineExceeded = 21,
  kPeerLost = 22,
  kCancelled = 23,
  kInternal = 24,
  kInnerCallRefused = 25,
  kUnauthenticated = 26,
  kAllotmentExceeded = 27,
};

/// Number of the last kind.
inline constexpr int kLastErrorKind = static_cast<int>(ErrorKind::kAllotmentExceeded);

/// Returns the kind for a number received from another node. Unlisted numbers become kInternal,
/// because nothing is known about the outcome.
constexpr ErrorKind ErrorKindFromWire(std::uint32_t number) {
  return number >= 1 && number <= static_cast<std::uint32_t>(kLastErrorKind)
             ? static_cast<ErrorKind>(number)
             : ErrorKind::kInternal;
}

}  // namespace masticpin
