#pragma once

#include <string>

namespace masticpin {

/// What a caller gets for its request.
struct OutgoingResponse {
  int status = 0;
  std::string reason;
  /// Header lines, each ended by CR LF, without the framing of the body and `Connection`.
  std::string header_lines;
  std::string body;
};

}  // namespace masticpin
