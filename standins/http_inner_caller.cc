#include "standins/http_inner_caller.h"

#include <nlohmann/json.hpp>

#include "masticpin/wire/http_headers.h"

namespace masticpin::standins {

namespace {

InnerOutcome Classify(const ClientPool::SendResult& send_result) {
  if (!send_result.complete) {
    return send_result.not_sent ? InnerOutcome::kNotRun : InnerOutcome::kUnknown;
  }
  const std::string outcome = send_result.response.get_header_value(kOutcomeHeader);
  if (send_result.response.status == 200 && (outcome.empty() || outcome == "complete")) {
    const auto body = nlohmann::json::parse(send_result.response.body, nullptr, false);
    // A body that cannot be parsed does not prove that the callee committed nothing.
    const bool read_only = body.is_object() && body.contains("commits") && body["commits"] == false;
    return read_only ? InnerOutcome::kReadOnly : InnerOutcome::kCommitted;
  }
  return outcome == "not-run" ? InnerOutcome::kNotRun : InnerOutcome::kUnknown;
}

}  // namespace

InnerOutcome HttpInnerCaller::Call(const InnerCall& call) {
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(call.time_left);
  httplib::Request request;
  request.method = "POST";
  request.path = "/" + call.target;
  request.set_header(kActionHeader, call.action);
  request.set_header(kDeadlineHeader, std::to_string(time_left.count()));
  if (!call.context.empty()) {
    request.set_header(kContextHeader, call.context);
  }
  if (!call.step.empty()) {
    request.set_header(kStepHeader, call.step);
  }
  if (!call.traceparent.empty()) {
    request.set_header(kTraceparentHeader, call.traceparent);
  }
  return Classify(this->clients.Send(this->node_address, request, call.time_left));
}

}  // namespace masticpin::standins
