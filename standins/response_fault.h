#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticpin/base/time.h"
#include "net/http_connection.h"

namespace masticpin::standins {

/// What goes wrong with a response after the work was done.
enum class FaultMode : std::uint8_t {
  kNone,
  /// The connection closes in the middle of the bytes.
  kCut,
  /// The body ends early: a chunked body without its end.
  kTruncate,
  /// The response is sent late.
  kLate,
  /// All bytes are sent twice on a connection that stays open.
  kDuplicate,
};

/// The fault that an upstream applies to a share of its responses.
struct ResponseFault {
  FaultMode mode = FaultMode::kNone;
  /// Share of the responses, from 0 to 1.
  double probability = 1.0;
  Duration delay = std::chrono::seconds(1);
};

/// Returns the mode named none, cut, truncate, late or duplicate.
std::optional<FaultMode> ParseFaultMode(std::string_view name);

/// The bytes that a broken response consists of.
std::string MakeFaultyResponse(FaultMode mode, const std::string& body);

/// Sends a complete response's body as `fault` says, in place of the server. Returns false if the
/// server is to send the response as usual.
bool SendWithFault(const ResponseFault& fault, const std::string& body, HttpConnection& connection);

}  // namespace masticpin::standins
