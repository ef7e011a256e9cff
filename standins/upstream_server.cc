#include "standins/upstream_server.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <charconv>

#include "masticpin/wire/http_headers.h"

namespace masticpin::standins {

namespace {

constexpr char kJson[] = "application/json";

/// Watches the connection that the calling thread is serving.
class ConnectionWatch : public CallerWatch {
 public:
  bool WaitForClose(Duration time) override {
    return HttpConnection::Current()->WaitForClose(time);
  }
};

nlohmann::json ToJson(const std::map<std::string, RunCounter::Counts>& kinds) {
  nlohmann::json result = nlohmann::json::object();
  for (const auto& [kind, counts] : kinds) {
    result[kind] = {{"arrivals", counts.arrivals}, {"runs", counts.runs}};
  }
  return result;
}

UpstreamRequest ReadRequest(const httplib::Request& request) {
  UpstreamRequest result;
  result.path = request.path;
  result.kind = request.matches[1].str();
  result.action = request.get_header_value(kActionHeader);
  result.context = request.get_header_value(kContextHeader);
  result.step = request.get_header_value(kStepHeader);
  result.traceparent = request.get_header_value(kTraceparentHeader);
  const std::string deadline = request.get_header_value(kDeadlineHeader);
  long milliseconds = 0;
  if (std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds).ec ==
      std::errc()) {
    result.time_left = std::chrono::milliseconds(milliseconds);
  }
  return result;
}

}  // namespace

UpstreamServer::UpstreamServer(Upstream& upstream, RandomSource& random)
    : upstream(upstream),
      random(random),
      http({.max_connections = upstream.Settings().connections}) {
  this->http.Get("/_upstream/load", [this](const httplib::Request&, httplib::Response& response) {
    this->HandleLoad(response);
  });
  this->http.Get("/_upstream/runs",
                 [this](const httplib::Request& request, httplib::Response& response) {
                   this->HandleRuns(request, response);
                 });
  this->http.Get("/_upstream/actions",
                 [this](const httplib::Request&, httplib::Response& response) {
                   this->HandleActions(response);
                 });
  this->http.Post("/_upstream/control",
                  [this](const httplib::Request& request, httplib::Response& response) {
                    this->HandleControl(request, response);
                  });
  const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
    this->HandleRequest(request, response);
  };
  const std::string pattern = "/" + upstream.Settings().service + "/([^/]+)(/.*)?";
  this->http.Get(pattern, handle);
  this->http.Post(pattern, handle);
  this->http.Put(pattern, handle);
}

void UpstreamServer::HandleRequest(const httplib::Request& request, httplib::Response& response) {
  ConnectionWatch watch;
  const UpstreamResponse result = this->upstream.Handle(ReadRequest(request), watch);
  response.status = result.status;
  const std::string context = request.get_header_value(kContextHeader);
  if (!context.empty()) {
    response.set_header(kContextHeader, context);
  }
  if (!result.outcome.empty()) {
    response.set_header(kOutcomeHeader, result.outcome);
    response.set_content(result.body, "text/plain");
    return;
  }
  if (!SendWithFault(this->DrawFault(), result.body, *HttpConnection::Current())) {
    response.set_content(result.body, kJson);
  }
}

ResponseFault UpstreamServer::DrawFault() {
  ResponseFault drawn;
  {
    const std::lock_guard lock(this->fault_mutex);
    drawn = this->fault;
  }
  constexpr std::uint64_t kScale = 1'000'000;
  if (static_cast<double>(this->random.NextBelow(kScale)) >= drawn.probability * kScale) {
    drawn.mode = FaultMode::kNone;
  }
  return drawn;
}

void UpstreamServer::HandleLoad(httplib::Response& response) {
  const UpstreamLoad load = this->upstream.ReportedLoad();
  const nlohmann::json body = {{"busy", load.busy}, {"waiting", load.waiting}};
  response.set_content(body.dump(), kJson);
}

void UpstreamServer::HandleRuns(const httplib::Request& request, httplib::Response& response) {
  if (request.has_param("action")) {
    const auto kinds = this->upstream.Runs().Find(request.get_param_value("action"));
    response.set_content(ToJson(kinds).dump(), kJson);
    return;
  }
  nlohmann::json repeated = nlohmann::json::array();
  for (const RunCounter::Entry& entry : this->upstream.Runs().Entries(2)) {
    repeated.push_back(
        {{"action", entry.action}, {"kind", entry.kind}, {"runs", entry.counts.runs}});
  }
  const nlohmann::json body = {{"name", this->upstream.Settings().name},
                               {"totals", ToJson(this->upstream.Runs().Totals())},
                               {"repeated", repeated}};
  response.set_content(body.dump(), kJson);
}

// Lists one line for each action and kind: action, kind, arrivals, runs, and 1 if the kind commits.
void UpstreamServer::HandleActions(httplib::Response& response) {
  const std::string prefix = this->upstream.Settings().service + "/";
  fmt::memory_buffer text;
  for (const RunCounter::Entry& entry : this->upstream.Runs().Entries(0)) {
    const std::string name = entry.kind.substr(prefix.size(), entry.kind.find('#') - prefix.size());
    const bool commits = !this->upstream.Settings().kinds.at(name).idempotent;
    fmt::format_to(std::back_inserter(text), "{} {} {} {} {}\n",
                   entry.action.empty() ? "-" : entry.action, entry.kind, entry.counts.arrivals,
                   entry.counts.runs, commits ? 1 : 0);
  }
  response.set_content(fmt::to_string(text), "text/plain");
}

void UpstreamServer::HandleControl(const httplib::Request& request, httplib::Response& response) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = 400;
    return;
  }
  const double speed_factor = body.value("speed_factor", 1.0);
  const std::string mode_name = body.value("fault", "none");
  const bool shed = mode_name == "shed";
  const std::optional<FaultMode> mode = shed ? FaultMode::kNone : ParseFaultMode(mode_name);
  if (speed_factor <= 0 || !mode) {
    response.status = 400;
    return;
  }
  if (body.contains("speed_factor")) {
    this->upstream.SetSpeedFactor(speed_factor);
  }
  if (body.contains("fault")) {
    this->upstream.SetShedding(shed);
    const std::lock_guard lock(this->fault_mutex);
    this->fault = {.mode = *mode,
                   .probability = body.value("probability", 1.0),
                   .delay = std::chrono::milliseconds(body.value("late_ms", 1000))};
  }
  if (body.contains("draining")) {
    this->upstream.SetDraining(body.value("draining", false));
  }
  spdlog::info("event=control name={} settings={}", this->upstream.Settings().name, body.dump());
}

}  // namespace masticpin::standins
