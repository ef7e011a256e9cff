#pragma once

#include <functional>
#include <string>

#include "masticpin/metrics/metrics_registry.h"
#include "sidecar/http_handler.h"

namespace masticpin {

/// Reports whether the node is ready, and serves its metrics.
class StatusHandler : public HttpHandler {
 public:
  /// `update_metrics` is called before the metrics are written.
  StatusHandler(std::string ready_path,
                const MetricsRegistry& metrics,
                std::function<void()> update_metrics);

  void OnRequest(Ref<HttpExchange> exchange) override;
  RequestLimits Limits() const override { return RequestLimits{}; }
  bool IsDraining() const override { return false; }

  void SetReady(bool new_ready) { this->ready = new_ready; }
  bool IsReady() const { return this->ready; }

 private:
  const std::string ready_path;
  const MetricsRegistry& metrics;
  const std::function<void()> update_metrics;
  bool ready = false;
};

}  // namespace masticpin
