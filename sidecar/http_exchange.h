#pragma once

#include "masticpin/admission/body_reservation.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"
#include "sidecar/caller_observer.h"
#include "sidecar/http_message.h"
#include "sidecar/message_body.h"
#include "sidecar/outgoing_response.h"

namespace masticpin {

class HttpSession;

/// One request of a caller, and its place in the order of responses on the connection.
class HttpExchange : public RefCounted<HttpExchange> {
 public:
  /// `body` is nullptr if the request has none. `head_memory` is released with the exchange.
  HttpExchange(HttpSession& session,
               HttpRequest request,
               Ref<const MessageBody> body,
               BodyReservation head_memory,
               TimePoint arrived_at);

  const HttpRequest& Request() const { return this->request; }
  HttpRequest& Request() { return this->request; }

  /// The body of the request; nullptr if it has none.
  const Ref<const MessageBody>& Body() const { return this->body; }

  /// Time at which the last byte of the request was read.
  TimePoint ArrivedAt() const { return this->arrived_at; }

  /// Sends the response; called at most once. Does nothing if the caller has disconnected.
  void Respond(OutgoingResponse outgoing_response);

  /// The observer must outlive the exchange or be reset to nullptr before it is destroyed.
  void SetObserver(CallerObserver* new_observer) { this->observer = new_observer; }

 private:
  friend class HttpSession;

  /// The connection; nullptr after it was closed.
  HttpSession* session;
  HttpRequest request;
  const Ref<const MessageBody> body;
  const BodyReservation head_memory;
  const TimePoint arrived_at;
  CallerObserver* observer = nullptr;
  bool responded = false;
  /// The serialized head of the response, its body, and the memory of both.
  std::string response_head;
  std::string response_body;
  BodyReservation response_memory;
};

}  // namespace masticpin
