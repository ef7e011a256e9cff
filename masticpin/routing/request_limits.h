#pragma once

#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Limits on the requests and connections of one caller. The defaults apply until the first
/// configuration arrives.
struct RequestLimits {
  /// Maximum size of the request line and all header fields.
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  /// Maximum time from the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(3);
  /// Maximum time that a connection stays open without a request.
  Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace masticpin
