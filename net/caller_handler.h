#pragma once

#include <string>

#include "net/caller_request.h"
#include "net/caller_response.h"

namespace masticpin {

/// Answers the requests that an HttpFront receives. Called on many threads at once.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// Returns the response; waits for it on the calling thread.
  virtual CallerResponse Handle(CallerRequest request) = 0;

  /// The node's whole state as JSON.
  virtual std::string StatusJson() = 0;

  /// Metrics in the Prometheus text format.
  virtual std::string MetricsText() = 0;

  /// Recent spans as OTLP/JSON; unless `filter` is empty, only those of this trace id or action.
  virtual std::string TracesJson(const std::string& filter) = 0;

  /// Starts the graceful shutdown; returns at once.
  virtual void BeginDrain() = 0;
};

}  // namespace masticpin
