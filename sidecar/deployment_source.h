#pragma once

#include <string>
#include <string_view>

#include "sidecar/deployment_observer.h"
#include "sidecar/http_dialect.h"

namespace masticpin {

/// Reads what a platform publishes about the deployment. Implemented by the platform's adapter.
class DeploymentSource {
 public:
  virtual ~DeploymentSource() = default;

  /// Starts reading. `observer` must stay valid as long as the event loop runs.
  virtual void Start(DeploymentObserver& observer) = 0;

  /// Sets the name of the local instance, whose entry is read more often than those of others.
  /// Empty while the name is unknown.
  virtual void SetLocalInstance(const std::string& name) = 0;

  /// Reads the entry of the local instance immediately. Used when the instance seems to be shutting
  /// down.
  virtual void RefreshLocalInstance() = 0;

  /// Reads the configuration immediately. Used when other nodes have a newer one.
  virtual void RefreshConfiguration() = 0;

  /// Names of the header fields and paths that the platform uses.
  virtual const HttpDialect& Dialect() const = 0;
};

}  // namespace masticpin
