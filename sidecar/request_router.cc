#include "sidecar/request_router.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "sidecar/routed_request.h"

namespace masticpin {
namespace {

/// Maximum number of log lines about requests that the exit of the process cuts off.
constexpr int kMaxCutLines = 100;

}  // namespace

RequestRouter::RequestRouter(const Settings& settings,
                             const HttpDialect& dialect,
                             const Clock& clock,
                             TimerService& timers,
                             RandomSource& random,
                             const InstanceDirectory& directory,
                             ZoneAwareLoadBalancer& balancer,
                             PeerLinkPool& peers,
                             LocalExecutor& executor,
                             AccountAdmission& accounts,
                             const StopSchedule& stop,
                             MetricsRegistry& metrics)
    : settings(settings),
      dialect(dialect),
      clock(clock),
      timers(timers),
      random(random),
      directory(directory),
      balancer(balancer),
      peers(peers),
      executor(executor),
      accounts(accounts),
      stop(stop),
      metrics(metrics),
      latency(metrics.GetHistogram("masticpin_request_seconds",
                                   "Time from the arrival of a request to its answer.")) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::OnRequest(Ref<HttpExchange> exchange) {
  const Ref<RoutedRequest> request(new RoutedRequest(*this, std::move(exchange)));
  request->Start();
}

void RequestRouter::LogUnfinished() const {
  int lines = 0;
  for (const UnfinishedRequest& request : this->unfinished_requests) {
    if (++lines > kMaxCutLines) {
      spdlog::warn("event=more_requests_cut");
      return;
    }
    request.LogCut();
  }
}

RequestLimits RequestRouter::Limits() const {
  RequestLimits limits =
      this->configuration == nullptr ? RequestLimits{} : this->configuration->Limits();
  limits.max_body_bytes = std::min(limits.max_body_bytes, this->settings.max_body_bytes);
  return limits;
}

void RequestRouter::SetConfiguration(Ref<const RoutingConfiguration> new_configuration) {
  this->configuration = std::move(new_configuration);
  this->configured_at = this->clock.Now();
  this->accounts.SetConfiguration(*this->configuration);
  std::erase_if(this->throttles, [this](const auto& entry) {
    return std::none_of(this->configuration->Routes().begin(), this->configuration->Routes().end(),
                        [&](const Route& route) { return route.name == entry.first; });
  });
}

std::uint64_t RequestRouter::ConfigurationVersion() const {
  return this->configuration == nullptr ? 0 : this->configuration->Version();
}

EntryThrottle& RequestRouter::GetThrottle(const Route& route) {
  return this->throttles.try_emplace(route.name, this->clock).first->second;
}

void RequestRouter::CountResponse(int status) {
  Counter*& counter = this->response_counters[status];
  if (counter == nullptr) {
    counter = &this->metrics.GetCounter("masticpin_requests_total",
                                        "Requests that began on this machine.",
                                        {{"status", std::to_string(status)}});
  }
  counter->Increment();
}

}  // namespace masticpin
