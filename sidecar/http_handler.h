#pragma once

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/request_limits.h"
#include "sidecar/http_exchange.h"

namespace masticpin {

/// Handles the requests of a listener.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Responds to the exchange, either immediately or later.
  virtual void OnRequest(Ref<HttpExchange> exchange) = 0;

  /// The current limits for requests.
  virtual RequestLimits Limits() const = 0;

  /// Whether each connection is closed after its next response.
  virtual bool IsDraining() const = 0;
};

}  // namespace masticpin
