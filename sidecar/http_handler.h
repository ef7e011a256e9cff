#pragma once

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/request_limits.h"
#include "sidecar/http_exchange.h"

namespace masticpin {

/// Answers the requests of a listener.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// Answers the exchange now or later.
  virtual void OnRequest(Ref<HttpExchange> exchange) = 0;

  /// The limits in force.
  virtual RequestLimits Limits() const = 0;

  /// Whether connections are closed after their next response.
  virtual bool IsDraining() const = 0;
};

}  // namespace masticpin
