#pragma once

#include <optional>
#include <string>

#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/wire/http_message.pb.h"

namespace masticpin {

/// The response to a CallerRequest.
struct CallerResponse {
  /// No value for a complete response.
  std::optional<ErrorKind> error;
  /// The complete response of the upstream.
  wire::HttpResponse http;
  /// Delay after which a retry may succeed; 0 if unknown.
  Duration retry_after{};
  /// Key that the caller must use to retry the action; empty if there is none.
  std::string key;
  /// A new key for the caller's next action; empty if there is none.
  std::string next_key;
  /// How long the new key can be used.
  Duration next_key_lifetime{};
};

}  // namespace masticpin
