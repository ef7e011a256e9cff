#include "standins/platform_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

#include "standins/ini_file.h"

namespace masticpin::standins {

namespace {

// Each configuration reader and each instance list poller of the site keeps one connection.
constexpr std::size_t kMaxConnections = 2000;

// Maximum time after which a waiting watch detects that its reader has disconnected.
constexpr Duration kWatchPollInterval = std::chrono::seconds(1);

std::uint64_t NumberParam(const httplib::Request& request, const char* name) {
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

PlatformServer::PlatformServer(ConfigStore& store, InstanceList& instances)
    : store(store), instances(instances), http({.max_connections = kMaxConnections}) {
  this->http.Get("/v1/documents/([^/]+)",
                 [this](const httplib::Request& request, httplib::Response& response) {
                   this->HandleDocument(request, response);
                 });
  this->http.Get("/v1/instances", [this](const httplib::Request&, httplib::Response& response) {
    this->HandleInstances(response);
  });
  this->http.Get("/_platform/status", [this](const httplib::Request&, httplib::Response& response) {
    this->HandleStatus(response);
  });
  this->http.Post("/_platform/control",
                  [this](const httplib::Request& request, httplib::Response& response) {
                    this->HandleControl(request, response);
                  });
}

void PlatformServer::EndWatches() {
  const std::lock_guard lock(this->watch_mutex);
  this->ending = true;
  this->store_changed.notify_all();
}

void PlatformServer::HandleDocument(const httplib::Request& request, httplib::Response& response) {
  const std::string name = request.matches[1].str();
  const std::uint64_t after = NumberParam(request, "after");
  ConfigStore::ReadResult result = this->store.Read(name);
  if (request.has_param("after") && result.status == ConfigStore::ReadStatus::kFound &&
      result.document.version == after) {
    result = this->Watch(name, after, std::chrono::milliseconds(NumberParam(request, "wait_ms")));
  }

  switch (result.status) {
    case ConfigStore::ReadStatus::kAbsent:
      response.status = 404;
      return;
    case ConfigStore::ReadStatus::kDown:
      response.status = 503;
      return;
    case ConfigStore::ReadStatus::kTooManyCalls:
      response.status = 429;
      return;
    case ConfigStore::ReadStatus::kFound:
      break;
  }
  response.set_header("Document-Version", std::to_string(result.document.version));
  if (request.has_param("after") && result.document.version == after) {
    response.status = 304;
    return;
  }
  response.set_content(result.document.text, "text/plain");
}

ConfigStore::ReadResult PlatformServer::Watch(const std::string& name,
                                              std::uint64_t after,
                                              Duration time) {
  const TimePoint end = std::chrono::steady_clock::now() + time;
  std::unique_lock lock(this->watch_mutex);
  while (true) {
    ConfigStore::ReadResult result = this->store.Peek(name);
    const TimePoint now = std::chrono::steady_clock::now();
    if (result.status != ConfigStore::ReadStatus::kFound || result.document.version != after ||
        now >= end || this->ending || HttpConnection::Current()->WaitForClose(Duration::zero())) {
      return result;
    }
    this->store_changed.wait_until(lock, std::min(end, now + kWatchPollInterval));
  }
}

void PlatformServer::HandleInstances(httplib::Response& response) {
  ++this->instance_calls;
  response.set_content(this->instances.Visible().dump(), "application/json");
}

void PlatformServer::HandleStatus(httplib::Response& response) {
  const nlohmann::json body = {{"calls", this->store.Calls()},
                               {"refused_calls", this->store.RefusedCalls()},
                               {"instance_calls", this->instance_calls.load()}};
  response.set_content(body.dump(), "application/json");
}

// Accepts any of: {"publish": {"name": N, "file": PATH}}, {"fault": NAME},
// {"instance": {"name": N, "state": S}}, {"instances_file": PATH}, {"list_lag_ms": N}.
void PlatformServer::HandleControl(const httplib::Request& request, httplib::Response& response) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = 400;
    return;
  }
  bool success = true;
  if (body.contains("publish")) {
    const auto& publish = body["publish"];
    const auto text = ReadFile(publish.value("file", ""));
    success = text.has_value();
    if (text) {
      this->store.Publish(publish.value("name", ""), *text);
    }
  }
  if (body.contains("fault")) {
    const auto fault = ParseConfigFault(body.value("fault", ""));
    success = success && fault.has_value();
    if (fault) {
      this->store.SetFault(*fault);
    }
  }
  if (body.contains("list_lag_ms")) {
    this->instances.SetLag(std::chrono::milliseconds(body.value("list_lag_ms", 0)));
  }
  if (body.contains("instance")) {
    const auto& instance = body["instance"];
    success = this->instances.SetState(instance.value("name", ""), instance.value("state", "")) &&
              success;
  }
  if (body.contains("instances_file")) {
    const auto text = ReadFile(body.value("instances_file", ""));
    auto list = nlohmann::json::parse(text.value_or(""), nullptr, false);
    success = success && list.is_array();
    if (list.is_array()) {
      this->instances.Replace(std::move(list));
    }
  }
  response.status = success ? 200 : 400;
  spdlog::info("event=control success={} settings={}", success, body.dump());
  const std::lock_guard lock(this->watch_mutex);
  this->store_changed.notify_all();
}

}  // namespace masticpin::standins
