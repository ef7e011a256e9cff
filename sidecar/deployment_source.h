#pragma once

#include <string>
#include <string_view>

#include "sidecar/deployment_observer.h"
#include "sidecar/http_dialect.h"

namespace masticpin {

/// Reads what one platform publishes. The adapter of the platform implements it.
class DeploymentSource {
 public:
  virtual ~DeploymentSource() = default;

  /// Begins to read; the observer must outlive the source.
  virtual void Start(DeploymentObserver& observer) = 0;

  /// Names the own instance, so that its entry is read more often than those of others; empty while
  /// it is not known.
  virtual void SetLocalInstance(const std::string& name) = 0;

  /// Reads the entry of the own instance now, because it seems to be leaving.
  virtual void RefreshLocalInstance() = 0;

  /// Names of the header fields and paths of the platform.
  virtual const HttpDialect& Dialect() const = 0;
};

}  // namespace masticpin
