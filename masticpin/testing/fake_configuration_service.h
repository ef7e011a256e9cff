#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "masticpin/configuration/configuration_service_client.h"

namespace masticpin {

/// Fake of the configuration service. It can be down, unreachable for some nodes, and show an old
/// version to some of them. The test sets its time.
class FakeConfigurationService {
 public:
  /// Calls per second above which it answers 429.
  static constexpr std::uint64_t kCallRateLimit = 2000;

  /// Content of a published version.
  static std::string BytesOf(std::uint64_t version) {
    return "[manifest]\nversion = " + std::to_string(version) + "\n";
  }

  void SetNow(Duration value) { this->now = value; }
  Duration Now() const { return this->now; }

  std::uint64_t VisibleTo(std::size_t node) const {
    return this->visible ? this->visible(node) : this->published;
  }

  /// Counts one call; returns false if it exceeds the rate limit.
  bool CountCall() {
    const auto second = static_cast<std::uint64_t>(this->now / std::chrono::seconds(1));
    return ++this->calls[second] <= kCallRateLimit;
  }

  /// Highest number of calls within one second, from `from` until now.
  std::uint64_t PeakCallsPerSecond(Duration from = Duration::zero()) const {
    std::uint64_t most = 0;
    for (const auto& [second, count] : this->calls) {
      if (std::chrono::seconds(second) >= from) {
        most = std::max(most, count);
      }
    }
    return most;
  }

  std::uint64_t TotalCalls(Duration from = Duration::zero()) const {
    std::uint64_t total = 0;
    for (const auto& [second, count] : this->calls) {
      total += std::chrono::seconds(second) >= from ? count : 0;
    }
    return total;
  }

  std::uint64_t published = 0;
  bool down = false;
  /// Version that a node sees; if empty, all nodes see the published one.
  std::function<std::uint64_t(std::size_t)> visible;
  /// Whether a node can reach the service; if empty, all nodes can.
  std::function<bool(std::size_t)> reachable;

 private:
  Duration now{};
  std::map<std::uint64_t, std::uint64_t> calls;
};

/// Client of one node for the fake service.
class FakeServiceClient : public ConfigurationServiceClient {
 public:
  FakeServiceClient(FakeConfigurationService& service, std::size_t node)
      : service(service), node(node) {}

  std::uint64_t Read(const std::string& /*name*/,
                     std::uint64_t after,
                     Duration wait,
                     Callback callback) override {
    const bool reached = !this->service.reachable || this->service.reachable(this->node);
    const bool within_rate = !reached || this->service.CountCall();
    this->pending.push_back(Pending{++this->last, after, this->service.Now(), wait, reached,
                                    within_rate, std::move(callback)});
    return this->last;
  }

  void Cancel(std::uint64_t call) override {
    std::erase_if(this->pending, [call](const Pending& p) { return p.id == call; });
  }

  /// Completes the calls whose response is due.
  void Poll() {
    for (std::size_t i = 0; i < this->pending.size();) {
      ServiceResponse response;
      if (!this->TryRespond(this->pending[i], response)) {
        ++i;
        continue;
      }
      const Callback callback = std::move(this->pending[i].callback);
      this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(i));
      callback(std::move(response));
    }
  }

 private:
  struct Pending {
    std::uint64_t id;
    std::uint64_t after;
    Duration started;
    Duration wait;
    bool reached;
    bool within_rate;
    Callback callback;
  };

  bool TryRespond(const Pending& call, ServiceResponse& response) const {
    const Duration age = this->service.Now() - call.started;
    if (age < std::chrono::milliseconds(5)) {
      return false;
    }
    const bool reachable = !this->service.reachable || this->service.reachable(this->node);
    if (!reachable || !call.reached) {
      // The client detects a broken connection only by its timeout.
      return age >= std::chrono::seconds(1);
    }
    if (this->service.down) {
      return true;
    }
    if (!call.within_rate) {
      response.status = ServiceStatus::kThrottled;
      return true;
    }
    const std::uint64_t version = this->service.VisibleTo(this->node);
    if (version == 0) {
      response.status = ServiceStatus::kMissing;
      return true;
    }
    if (call.wait > Duration::zero() && version == call.after) {
      response.status = ServiceStatus::kNotModified;
      return age >= call.wait;
    }
    response.status = ServiceStatus::kValue;
    response.version = version;
    response.bytes = FakeConfigurationService::BytesOf(version);
    return true;
  }

  FakeConfigurationService& service;
  const std::size_t node;
  std::uint64_t last = 0;
  std::vector<Pending> pending;
};

}  // namespace masticpin
