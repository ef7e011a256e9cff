#include "sidecar/http_exchange.h"

#include <utility>

#include "sidecar/http_session.h"

namespace masticpin {

HttpExchange::HttpExchange(HttpSession& session,
                           HttpRequest request,
                           Ref<const MessageBody> body,
                           BodyReservation head_memory,
                           TimePoint arrived_at)
    : session(&session),
      request(std::move(request)),
      body(std::move(body)),
      head_memory(std::move(head_memory)),
      arrived_at(arrived_at) {}

void HttpExchange::Respond(OutgoingResponse outgoing_response) {
  if (this->responded || this->session == nullptr) {
    return;
  }
  this->responded = true;
  this->observer = nullptr;
  this->session->OnResponse(*this, std::move(outgoing_response));
}

}  // namespace masticpin
