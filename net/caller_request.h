#pragma once

#include <optional>
#include <string>

#include "masticpin/base/time.h"
#include "masticpin/wire/http_message.pb.h"

namespace masticpin {

/// One HTTP request from a caller or from the local upstream.
struct CallerRequest {
  std::string service;
  std::string kind;
  /// The request as it is forwarded to the upstream, without the header fields below.
  wire::HttpRequest http;
  /// Value of Idempotency-Key; empty if the header is missing.
  std::string key;
  /// Value of Masticpin-Context; set on inner calls that an upstream makes for an execution.
  std::string context;
  /// Value of Masticpin-Step.
  std::string step;
  /// Value of traceparent; empty if the header is missing.
  std::string traceparent;
  /// How long the caller waits, if the request states it.
  std::optional<Duration> deadline;
  /// The connection exceeds the limit on connections.
  bool overflow = false;
};

}  // namespace masticpin
