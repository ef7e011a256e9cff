#pragma once

#include <string>

namespace masticpin {

/// Header fields and paths that the callers, nodes and servers of one platform use. Provided by the
/// platform's adapter.
struct HttpDialect {
  /// Header field with the id that the sender gave the request. The server echoes it in its
  /// response and derives the ids of its inner calls from it.
  std::string request_id;
  /// Header field with the number of milliseconds for which the sender still waits.
  std::string remaining_ms;
  /// Header field with the name of the only instance that may run the request; others respond with
  /// 421.
  std::string expected_instance;
  /// Header field with the name of the instance that responds. In a 421 response it is the instance
  /// that actually runs at the address.
  std::string instance_name;
  /// Header field with the service on whose machine the request originated.
  std::string caller_service;
  /// Header field with the key of a client account, after `key_scheme` and a space.
  std::string authorization;
  std::string key_scheme;
  /// Header field that tells the server the name of the client account.
  std::string client_account;
  /// Header field that marks a response of a server that did not run the request.
  std::string not_executed;
  /// Header field that proves that a response was produced by a server.
  std::string server_seal;
  /// Path that the platform requests to check whether the node is ready.
  std::string ready_path;
};

}  // namespace masticpin
