#include "net/http_frontend.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/wire/http_headers.h"

namespace masticpin {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kJson[] = "application/json";
constexpr char kProblemJson[] = "application/problem+json";

/// Returns false for header fields that are not forwarded: hop-by-hop fields, fields that
/// cpp-httplib adds, and fields that the node sets itself on its request to the upstream.
bool IsForwardedHeader(const std::string& name) {
  static constexpr std::array<const char*, 16> kNames = {
      "Connection",   "Keep-Alive",      "Transfer-Encoding",   "Content-Length",
      "Host",         "REMOTE_ADDR",     "REMOTE_PORT",         "LOCAL_ADDR",
      "LOCAL_PORT",   "Accept-Encoding", kIdempotencyKeyHeader, kDeadlineHeader,
      kContextHeader, kStepHeader,       kActionHeader,         kTraceparentHeader};
  return std::none_of(kNames.begin(), kNames.end(),
                      [&name](const char* other) { return strcasecmp(name.c_str(), other) == 0; });
}

/// Parses "/<service>/<kind>[/...]". Returns false for any other path.
bool ParsePath(const std::string& path, CallerRequest& request) {
  const auto service_end = path.find('/', 1);
  if (path.empty() || path[0] != '/' || service_end == std::string::npos) {
    return false;
  }
  const auto kind_end = path.find('/', service_end + 1);
  request.service = path.substr(1, service_end - 1);
  request.kind =
      path.substr(service_end + 1,
                  kind_end == std::string::npos ? std::string::npos : kind_end - service_end - 1);
  return !request.service.empty() && !request.kind.empty();
}

/// Returns false if the header is present but not a positive number.
bool ParseDeadline(const httplib::Request& http, CallerRequest& request) {
  if (!http.has_header(kDeadlineHeader)) {
    return true;
  }
  const std::string text = http.get_header_value(kDeadlineHeader);
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value == 0) {
    return false;
  }
  request.deadline = milliseconds(value);
  return true;
}

bool ParseCallerRequest(const httplib::Request& http, CallerRequest& request) {
  if (!ParsePath(http.path, request) || !ParseDeadline(http, request)) {
    return false;
  }
  request.key = http.get_header_value(kIdempotencyKeyHeader);
  request.context = http.get_header_value(kContextHeader);
  request.step = http.get_header_value(kStepHeader);
  request.traceparent = http.get_header_value(kTraceparentHeader);
  request.overflow = HttpServer::InOverflow();
  request.http.set_method(http.method);
  request.http.set_target(http.target);
  request.http.set_body(http.body);
  for (const auto& [name, value] : http.headers) {
    if (IsForwardedHeader(name)) {
      wire::Header* header = request.http.add_headers();
      header->set_name(name);
      header->set_value(value);
    }
  }
  return true;
}

void WriteProblem(ErrorKind kind, httplib::Response& response) {
  const ErrorInfo& error_info = GetErrorInfo(kind);
  nlohmann::json problem;
  problem["type"] = "urn:masticpin:error:" + std::string(error_info.name);
  problem["title"] = error_info.text;
  problem["status"] = error_info.http_status;
  problem["outcome"] = OutcomeName(error_info.outcome);
  response.status = error_info.http_status;
  response.set_header(kOutcomeHeader, std::string(OutcomeName(error_info.outcome)));
  response.set_header(kErrorHeader, std::string(error_info.name));
  response.set_content(problem.dump(), kProblemJson);
}

void WriteCompleteResponse(const wire::HttpResponse& http, httplib::Response& response) {
  response.status = static_cast<int>(http.status());
  std::string content_type = "application/octet-stream";
  for (const wire::Header& header : http.headers()) {
    if (strcasecmp(header.name().c_str(), "Content-Type") == 0) {
      content_type = header.value();
    } else {
      response.headers.emplace(header.name(), header.value());
    }
  }
  response.set_content(http.body(), content_type);
  response.headers.erase(kOutcomeHeader);
  response.set_header(kOutcomeHeader, std::string(OutcomeName(Outcome::kComplete)));
}

void WriteCallerResponse(const CallerResponse& caller_response, httplib::Response& response) {
  if (caller_response.error.has_value()) {
    WriteProblem(*caller_response.error, response);
  } else {
    WriteCompleteResponse(caller_response.http, response);
  }
  if (caller_response.retry_after > Duration::zero()) {
    const auto delay = duration_cast<milliseconds>(caller_response.retry_after);
    response.set_header(kRetryAfterMsHeader, std::to_string(delay.count()));
    // Retry-After has a resolution of one second; round up, so that callers do not retry too early.
    response.set_header("Retry-After", std::to_string((delay.count() + 999) / 1000));
  }
  if (!caller_response.key.empty()) {
    response.set_header(kIdempotencyKeyHeader, caller_response.key);
  }
  if (!caller_response.next_key.empty()) {
    const auto life = duration_cast<seconds>(caller_response.next_key_lifetime).count();
    response.set_header(kNextKeyHeader,
                        caller_response.next_key + "; life=" + std::to_string(life));
  }
}

}  // namespace

HttpFrontend::HttpFrontend(const HttpServerOptions& options, CallerHandler& handler)
    : handler(handler), server(options) {
  this->RegisterRoutes();
}

HttpFrontend::~HttpFrontend() {
  this->Stop();
}

int HttpFrontend::Start(const std::string& address) {
  const int port = this->server.Bind(address);
  if (port >= 0) {
    this->listener = std::thread([this] { this->server.listen_after_bind(); });
  }
  return port;
}

void HttpFrontend::Stop() {
  if (this->listener.joinable()) {
    this->server.Stop();
    this->listener.join();
  }
}

void HttpFrontend::RegisterRoutes() {
  // Operators.
  this->server.Get("/_masticpin/status", [this](const auto&, auto& response) {
    response.set_content(this->handler.StatusJson(), kJson);
  });
  this->server.Get("/_masticpin/metrics", [this](const auto&, auto& response) {
    response.set_content(this->handler.MetricsText(), "text/plain; version=0.0.4");
  });
  this->server.Get("/_masticpin/traces", [this](const auto& request, auto& response) {
    response.set_content(this->handler.TracesJson(request.get_param_value("filter")), kJson);
  });
  this->server.Post("/_masticpin/drain", [this](const auto&, auto& response) {
    this->handler.BeginDrain();
    response.status = 202;
    response.set_content("{\"state\":\"draining\"}", kJson);
  });

  // Callers and the upstream.
  const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
    this->HandleCallerRequest(request, response);
  };
  this->server.Get("/.*", handle);
  this->server.Post("/.*", handle);
  this->server.Put("/.*", handle);
  this->server.Patch("/.*", handle);
  this->server.Delete("/.*", handle);

  // Requests that cpp-httplib rejects itself (too large or malformed) do not reach a handler.
  this->server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
    if (!response.has_header(kOutcomeHeader)) {
      const int status = response.status;
      WriteProblem(status == 413 ? ErrorKind::kBodyTooLarge : ErrorKind::kMalformedRequest,
                   response);
      response.status = status;
    }
  });
  this->server.set_exception_handler(
      [](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
        WriteProblem(ErrorKind::kInternal, response);
      });
}

void HttpFrontend::HandleCallerRequest(const httplib::Request& request,
                                       httplib::Response& response) {
  CallerRequest caller_request;
  if (!ParseCallerRequest(request, caller_request)) {
    WriteProblem(ErrorKind::kMalformedRequest, response);
    return;
  }
  WriteCallerResponse(this->handler.Handle(std::move(caller_request)), response);
}

}  // namespace masticpin
