#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticpin/base/time.h"
#include "net/http_connection.h"

namespace masticpin::standins {

/// Fault of a response after the run was committed.
enum class FaultMode : std::uint8_t {
  kNone,
  /// The connection closes after half of the response.
  kCut,
  /// The connection closes after half of the body, sent chunked and without the last chunk.
  kTruncate,
  /// The response is delayed.
  kLate,
  /// The response is sent twice on a connection that stays open.
  kDuplicate,
};

/// The fault that an upstream applies to a share of its responses.
struct ResponseFault {
  FaultMode mode = FaultMode::kNone;
  /// Share of the responses, from 0 to 1.
  double probability = 1.0;
  Duration delay = std::chrono::seconds(1);
};

/// Parses "none", "cut", "truncate", "late" or "duplicate". Returns nothing for any other name.
std::optional<FaultMode> ParseFaultMode(std::string_view name);

/// Returns the bytes to send for a response with `body` under the fault `mode`.
std::string MakeFaultyResponse(FaultMode mode, const std::string& body);

/// Applies `fault` to a response with `body`. Returns true if it has sent the faulty response on
/// `connection`; false if the server should send the response as usual, possibly after a delay.
bool SendWithFault(const ResponseFault& fault, const std::string& body, HttpConnection& connection);

}  // namespace masticpin::standins
