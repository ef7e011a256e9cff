#include "standins/naive_forwarder.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "masticpin/wire/http_headers.h"

namespace masticpin::standins {

namespace {

// One try and three retries at every hop, a common default of HTTP clients and proxies.
constexpr int kMaxTries = 4;

// Timeout of requests without a valid deadline header, and of reads of the instance list.
constexpr Duration kDefaultTimeout = std::chrono::seconds(5);

constexpr Duration kRefreshPeriod = std::chrono::seconds(1);

// The maximum `connections` of a service in deploy/. With less, the forwarder would refuse
// connections that a node accepts.
constexpr std::size_t kMaxConnections = 1400;

Duration ParseTimeout(const httplib::Request& request) {
  const std::string deadline = request.get_header_value(kDeadlineHeader);
  long milliseconds = 0;
  if (std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds).ec !=
      std::errc()) {
    return kDefaultTimeout;
  }
  return std::chrono::milliseconds(milliseconds);
}

httplib::Request CopyRequest(const httplib::Request& request, const std::string& action) {
  httplib::Request copy;
  copy.method = request.method;
  copy.path = request.path;
  copy.body = request.body;
  constexpr std::array kForwardedHeaders = {kIdempotencyKeyHeader, kContextHeader, kStepHeader,
                                            kTraceparentHeader, "Content-Type"};
  for (const char* header : kForwardedHeaders) {
    if (request.has_header(header)) {
      copy.set_header(header, request.get_header_value(header));
    }
  }
  copy.set_header(kActionHeader, action);
  return copy;
}

bool IsFailure(const ClientPool::SendResult& send_result) {
  return !send_result.complete || send_result.response.status >= 500;
}

}  // namespace

NaiveForwarder::NaiveForwarder(NaiveSettings settings, RandomSource& random)
    : settings(std::move(settings)), random(random), http({.max_connections = kMaxConnections}) {
  const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
    this->Handle(request, response);
  };
  this->http.Get("/.*", handle);
  this->http.Post("/.*", handle);
  this->http.Put("/.*", handle);
}

NaiveForwarder::~NaiveForwarder() {
  this->stopping = true;
  if (this->refresh_thread.joinable()) {
    this->refresh_thread.join();
  }
}

void NaiveForwarder::StartRefresh() {
  this->refresh_thread = std::thread([this] {
    while (!this->stopping) {
      this->Refresh();
      std::this_thread::sleep_for(kRefreshPeriod);
    }
  });
}

void NaiveForwarder::Refresh() {
  httplib::Request request;
  request.method = "GET";
  request.path = "/v1/instances";
  const auto send_result =
      this->clients.Send(this->settings.platform_address, request, kDefaultTimeout);
  if (send_result.complete && send_result.response.status == 200) {
    this->SetInstances(send_result.response.body);
  } else {
    spdlog::warn("event=instance_list_unreadable platform={}", this->settings.platform_address);
  }
}

void NaiveForwarder::SetInstances(const std::string& json) {
  const auto list = nlohmann::json::parse(json, nullptr, false);
  std::vector<Instance> live;
  for (const auto& entry : list) {
    if (entry.is_object() && entry.value("state", "") == "live") {
      live.push_back({entry.value("service", ""), entry.value("http", "")});
    }
  }
  const std::lock_guard lock(this->mutex);
  this->instances = std::move(live);
}

std::string NaiveForwarder::ChooseAddress(const std::string& service) {
  if (service == this->settings.service) {
    return this->settings.upstream_address;
  }
  const std::lock_guard lock(this->mutex);
  std::vector<const Instance*> candidates;
  for (const Instance& instance : this->instances) {
    if (instance.service == service) {
      candidates.push_back(&instance);
    }
  }
  return candidates.empty() ? "" : candidates[this->random.NextBelow(candidates.size())]->http;
}

void NaiveForwarder::Handle(const httplib::Request& request, httplib::Response& response) {
  // The caller's key only identifies the action in the run counts of the upstreams.
  std::string action = request.get_header_value(kActionHeader);
  if (action.empty()) {
    action = request.get_header_value(kIdempotencyKeyHeader);
  }
  if (action.empty()) {
    action = fmt::format("{}-{:016x}", this->settings.name, this->random.Next());
  }
  httplib::Request copy = CopyRequest(request, action);
  const std::string service = request.path.substr(1, request.path.find('/', 1) - 1);
  const TimePoint deadline = std::chrono::steady_clock::now() + ParseTimeout(request);

  ClientPool::SendResult send_result;
  for (int tries = 0; tries < kMaxTries && IsFailure(send_result); ++tries) {
    const std::string address = this->ChooseAddress(service);
    const Duration remaining = deadline - std::chrono::steady_clock::now();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    if (address.empty() || milliseconds <= 0) {
      break;
    }
    copy.headers.erase(kDeadlineHeader);
    copy.set_header(kDeadlineHeader, std::to_string(milliseconds));
    send_result = this->clients.Send(address, copy, remaining);
  }

  if (!send_result.complete) {
    response.status = 502;
    response.set_header(kOutcomeHeader, "unknown");
    return;
  }
  response.status = send_result.response.status;
  response.body = std::move(send_result.response.body);
  for (const char* header : {"Content-Type", kOutcomeHeader}) {
    if (send_result.response.has_header(header)) {
      response.set_header(header, send_result.response.get_header_value(header));
    }
  }
}

}  // namespace masticpin::standins
