#include "sidecar/status_handler.h"

#include <utility>

namespace masticpin {

StatusHandler::StatusHandler(std::string ready_path,
                             const MetricsRegistry& metrics,
                             std::function<void()> update_metrics)
    : ready_path(std::move(ready_path)),
      metrics(metrics),
      update_metrics(std::move(update_metrics)) {}

void StatusHandler::OnRequest(Ref<HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  OutgoingResponse reply;
  if (target == this->ready_path) {
    reply.status = this->ready ? 200 : 503;
    reply.reason = this->ready ? "OK" : "Service Unavailable";
  } else if (target == "/metrics") {
    this->update_metrics();
    reply.status = 200;
    reply.reason = "OK";
    reply.header_lines = "Content-Type: text/plain; version=0.0.4\r\n";
    reply.body = this->metrics.WriteText();
  } else {
    reply.status = 404;
    reply.reason = "Not Found";
  }
  exchange->Respond(reply);
}

}  // namespace masticpin
