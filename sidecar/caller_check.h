#pragma once

#include <cstdint>
#include <string_view>

#include "masticpin/routing/client_account.h"
#include "masticpin/routing/route.h"
#include "masticpin/routing/routing_configuration.h"
#include "sidecar/http_dialect.h"
#include "sidecar/http_message.h"

namespace masticpin {

/// Where a request comes from, and whether its sender may use the route.
struct CallerCheck {
  enum class Result : std::uint8_t {
    kAccepted,
    /// The key is missing, malformed or unknown.
    kUnauthenticated,
    /// The request looks like an inner call, but no running request caused it.
    kUnknownParent,
  };

  Result result = Result::kAccepted;
  /// Whether the request is an inner call of one that the local instance is running.
  bool inner = false;
  /// The client account that the key identifies, if any.
  const ClientAccount* account = nullptr;
};

/// Checks the sender of `request`. `has_parent` tells whether the local instance is running a
/// request from whose id `id` is derived. If the configuration requires keys, a request with a key
/// is never an inner call, so that a caller cannot pass as one by choosing its id.
CallerCheck CheckCaller(const RoutingConfiguration& configuration,
                        const Route& route,
                        const HttpRequest& request,
                        const HttpDialect& dialect,
                        std::string_view id,
                        bool has_parent);

}  // namespace masticpin
