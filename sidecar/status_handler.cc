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
  OutgoingResponse outgoing_response;
  if (target == this->ready_path) {
    outgoing_response.status = this->ready ? 200 : 503;
    outgoing_response.reason = this->ready ? "OK" : "Service Unavailable";
  } else if (target == "/metrics") {
    this->update_metrics();
    outgoing_response.status = 200;
    outgoing_response.reason = "OK";
    outgoing_response.header_lines = "Content-Type: text/plain; version=0.0.4\r\n";
    outgoing_response.body = this->metrics.WriteText();
  } else {
    outgoing_response.status = 404;
    outgoing_response.reason = "Not Found";
  }
  exchange->Respond(std::move(outgoing_response));
}

}  // namespace masticpin
