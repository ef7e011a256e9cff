#pragma once

#include <string>

#include "net/caller_request.h"
#include "net/caller_response.h"

namespace masticpin {

/// Handles the requests that an HttpFrontend receives. Called concurrently from many threads.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// Handles one request and returns the response. Blocks the calling thread until then.
  virtual CallerResponse Handle(CallerRequest request) = 0;

  /// The state of the node as JSON.
  virtual std::string StatusJson() = 0;

  /// Metrics in the Prometheus text format.
  virtual std::string MetricsText() = 0;

  /// Recent spans as OTLP/JSON. If `filter` is not empty, only the spans with this trace id or
  /// action.
  virtual std::string TracesJson(const std::string& filter) = 0;

  /// Starts the graceful shutdown; returns at once.
  virtual void BeginDrain() = 0;
};

}  // namespace masticpin
