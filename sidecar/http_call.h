#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "masticpin/base/time.h"
#include "sidecar/message_body.h"

namespace masticpin {

/// One request that an HTTP client sends.
struct HttpCall {
  /// The request as it is sent: the head, and the body if it is not in `body`.
  std::string message;
  /// Sent after `message`; nullptr for none.
  Ref<const MessageBody> body;
  /// Whether this is a HEAD request, whose response has no body.
  bool head = false;
  /// A header field that the server echoes in its response, and the value that it must have. A
  /// response with another value belongs to another request. An empty name disables the check.
  std::string echo_name;
  std::string echo_value;
  /// Whether a response without the echoed field belongs to another request too. Otherwise it is
  /// accepted, but the connection is not reused, because a late second copy of it could not be told
  /// from the next response.
  bool echo_required = true;
  /// Maximum idle time of a connection that may be reused. A server may close an idle connection at
  /// any time, and a request that is sent at that moment may or may not have run.
  Duration max_idle{};
};

/// Completes a head in `message`, of which the request line and the header fields are there: adds
/// the length if the request has a body or its method expects one, and the empty line.
void AppendEndOfHead(std::string_view method, std::size_t body_bytes, std::string& message);

}  // namespace masticpin
