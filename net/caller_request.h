#pragma once

#include <optional>
#include <string>

#include "masticpin/base/time.h"
#include "masticpin/wire/http_message.pb.h"

namespace masticpin {

/// One HTTP request from a caller or from the node's own upstream.
struct CallerRequest {
  std::string service;
  std::string kind;
  /// The request as the upstream receives it, without the header fields that are named below.
  wire::HttpRequest http;
  /// Value of Idempotency-Key, empty without one.
  std::string key;
  /// Value of Masticpin-Context; set on calls of an upstream on behalf of an execution.
  std::string context;
  /// Value of Masticpin-Step.
  std::string step;
  /// Value of traceparent, empty without one.
  std::string traceparent;
  /// How long the caller waits, if it says so.
  std::optional<Duration> deadline;
  /// The connection is above the bound on connections.
  bool overflow = false;
};

}  // namespace masticpin
