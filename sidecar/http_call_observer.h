#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "sidecar/http_message.h"

namespace masticpin {

/// Receives the result of one call of an HTTP client. Exactly one of OnResponse() and
/// OnCallFailed() is called, once, and not from within the function that started the call.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;

  /// Called immediately before the request is written, which may be some time after the start of
  /// the call if a connection has to be opened. Must not end the call.
  virtual void OnSend() {}

  /// Called with the complete response.
  virtual void OnResponse(HttpResponse response) = 0;

  /// Called when there is no complete response. `kind` is kUpstreamUnreachable if nothing was sent,
  /// otherwise kUpstreamBroken.
  virtual void OnCallFailed(ErrorKind kind, std::string_view reason) = 0;
};

}  // namespace masticpin
