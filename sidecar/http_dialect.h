#pragma once

#include <string>

namespace masticpin {

/// Names of the header fields by which callers, nodes and servers of one platform understand each
/// other. The platform's adapter provides them.
struct HttpDialect {
  /// The caller's id of one attempt; a server repeats it in its response.
  std::string request_id;
  /// Milliseconds that the sender still waits.
  std::string remaining_ms;
  /// Name of the only instance that may run the request; another one answers 421.
  std::string expected_instance;
  /// Name of the instance that answers; in a 421 response the one that is there instead.
  std::string instance_name;
  /// Service on whose machine the request began.
  std::string caller_service;
  /// Marks a response of a server that did not run the request.
  std::string not_executed;
  /// Proves that a response is a server's.
  std::string server_seal;
  /// Path at which the platform asks whether the node is ready.
  std::string ready_path;
};

}  // namespace masticpin
