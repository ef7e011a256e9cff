#pragma once

#include <string>

#include "sidecar/deployment_source.h"

namespace masticpin {

/// A deployment source whose observer a test calls directly to publish configurations and
/// instances.
class FakeDeployment : public DeploymentSource {
 public:
  FakeDeployment() {
    this->dialect.request_id = "Test-Id";
    this->dialect.remaining_ms = "Test-Remaining-Ms";
    this->dialect.expected_instance = "Test-Expected";
    this->dialect.instance_name = "Test-Instance";
    this->dialect.caller_service = "Test-Caller";
    this->dialect.authorization = "Test-Authorization";
    this->dialect.key_scheme = "Key";
    this->dialect.client_account = "Test-Account";
    this->dialect.not_executed = "Test-Not-Executed";
    this->dialect.server_seal = "Test-Seal";
    this->dialect.ready_path = "/ready";
  }

  void Start(DeploymentObserver& new_observer) override { this->observer = &new_observer; }
  void SetLocalInstance(const std::string& name) override { this->local_instance = name; }
  void RefreshLocalInstance() override { ++this->refreshes; }
  void RefreshConfiguration() override { ++this->configuration_refreshes; }
  const HttpDialect& Dialect() const override { return this->dialect; }

  HttpDialect dialect;
  DeploymentObserver* observer = nullptr;
  std::string local_instance;
  int refreshes = 0;
  int configuration_refreshes = 0;
};

}  // namespace masticpin
