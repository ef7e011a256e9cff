#pragma once

#include <string>

namespace masticpin {

/// The HTTP response that a caller receives.
struct OutgoingResponse {
  int status = 0;
  std::string reason;
  /// Header lines, each terminated by CR LF, except `Connection` and those that frame the body.
  std::string header_lines;
  std::string body;
};

}  // namespace masticpin
