#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "sidecar/http_message.h"

namespace masticpin {

/// Gets the end of one call of an HTTP client. Exactly one of the methods is called, once, and not
/// from within the call that started it.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;

  /// The complete response arrived.
  virtual void OnResponse(HttpResponse response) = 0;

  /// There is no complete response. `kind` is kUpstreamUnreachable if nothing was sent, else
  /// kUpstreamBroken.
  virtual void OnCallFailed(ErrorKind kind, std::string_view reason) = 0;
};

}  // namespace masticpin
