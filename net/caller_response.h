#pragma once

#include <optional>
#include <string>

#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/wire/http_message.pb.h"

namespace masticpin {

/// What a caller is told.
struct CallerResponse {
  /// No value for a complete response.
  std::optional<ErrorKind> error;
  /// The complete response of the upstream.
  wire::HttpResponse http;
  /// Delay before a retry can help; 0 if there is none to name.
  Duration retry_after{};
  /// Key that the caller must use to repeat the action; empty if there is none.
  std::string key;
  /// A fresh key for the caller's next action; empty if there is none.
  std::string next_key;
  /// How long the fresh key can be used.
  Duration next_key_lifetime{};
};

}  // namespace masticpin
