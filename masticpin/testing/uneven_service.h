#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "masticpin/routing/work_time_estimator.h"
#include "masticpin/routing/zone_aware_load_balancer.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {

/// One service whose instances differ in speed, and the nodes that choose among them. Runs on a
/// fake clock; the same plan produces the same run. Work times are multiplied by a random factor
/// with a coefficient of variation of a half. Requests that wait for 0.1 s are refused, and sent to
/// another instance up to twice, as by the nodes.
class UnevenService {
 public:
  enum class Placement : std::uint8_t {
    /// Without learning.
    kCurrent,
    kLearned,
    /// All nodes are told the true speeds every 20 ms.
    kKnown,
  };

  struct Plan {
    Placement placement = Placement::kLearned;
    std::vector<double> speeds = {0.5, 1, 1, 1.5};
    /// Zones of the instances, in turn, and of the choosing nodes.
    std::vector<std::string> zones = {"a"};
    std::size_t nodes = 3;
    std::uint32_t slots = 16;
    /// Offered load as a share of the instances' capacity.
    double load = 0.6;
    Duration length = std::chrono::seconds(12);
    /// Instances are this much slower from 0.95 of their slots on.
    double knee = 1;
    /// Share of the time in which an instance is 2.5 times slower, for 0.6 s at a time.
    double noise = 0;
    /// Speed of an instance at a time, as a factor; may be empty.
    std::function<double(std::size_t, Duration)> factor;
    std::uint64_t seed = 1;
  };

  struct Sample {
    Duration arrived{};
    Duration latency{};
    /// Instance that answered; -1 if the request was refused.
    int instance = -1;
  };

  explicit UnevenService(Plan plan)
      : plan(std::move(plan)), random(this->plan.seed), begin(this->clock.Now()) {
    for (std::size_t i = 0; i < this->plan.speeds.size(); ++i) {
      this->instances.push_back(std::make_unique<Instance>(this->clock));
    }
    ZoneAwareLoadBalancerSettings settings;
    settings.learn_speed = this->plan.placement != Placement::kCurrent;
    for (std::size_t n = 0; n < this->plan.nodes; ++n) {
      this->balancers.push_back(std::make_unique<ZoneAwareLoadBalancer>(
          this->plan.zones[n % this->plan.zones.size()], this->clock, this->random, settings));
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        UpstreamInstance instance;
        instance.name = std::to_string(i);
        instance.service = "s";
        instance.zone = this->plan.zones[i % this->plan.zones.size()];
        instance.slots = this->plan.slots;
        instance.incarnation = 1;
        this->balancers.back()->OnInstanceUpdated(instance);
      }
    }
  }

  /// Requests per second that the instances can process together at their usual speeds.
  double Capacity() const {
    double speed = 0;
    for (const double one : this->plan.speeds) {
      speed += one;
    }
    double work = 0;
    for (const Duration base : kWork) {
      work += Seconds(base) / kWork.size();
    }
    return speed * this->Limit() / work;
  }

  void Run() {
    this->At(Duration::zero(), [this] { this->Arrive(); });
    this->At(Duration::zero(), [this] { this->TellTrueSpeeds(); });
    if (this->plan.noise > 0) {
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->At(Duration::zero(), [this, i] { this->ChangeNoise(i); });
      }
    }
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Jump(std::max(Duration::zero(), event.due - this->clock.Now()));
      event.call();
    }
  }

  const std::vector<Sample>& Samples() const { return this->samples; }
  ZoneAwareLoadBalancer& Balancer(std::size_t node) { return *this->balancers[node]; }

  /// Answers per second among the requests that arrived from `from` until `to`.
  double Goodput(Duration from, Duration to) const {
    return static_cast<double>(this->Latencies(from, to).size()) / Seconds(to - from);
  }

  /// Latency that the given share of the answers did not exceed, in milliseconds.
  double Quantile(double share, Duration from, Duration to) const {
    std::vector<double> latencies = this->Latencies(from, to);
    if (latencies.empty()) {
      return 0;
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))];
  }

  /// Share of the sends that left the zone of their node.
  double ForeignShare() const {
    return static_cast<double>(this->foreign_sends) / static_cast<double>(this->sends);
  }

  /// Share of the requests that arrived from `from` until `to` which instance `index` answered.
  double ShareOf(int index, Duration from, Duration to) const {
    double own = 0;
    double all = 0;
    for (const Sample& sample : this->samples) {
      if (sample.arrived >= from && sample.arrived < to) {
        all += 1;
        own += sample.instance == index ? 1 : 0;
      }
    }
    return all == 0 ? 0 : own / all;
  }

 private:
  static constexpr std::array<Duration, 3> kWork = {
      std::chrono::milliseconds(20), std::chrono::milliseconds(40), std::chrono::milliseconds(60)};
  static constexpr Duration kTransit = std::chrono::microseconds(500);
  static constexpr Duration kMaxWait = std::chrono::milliseconds(100);
  static constexpr int kMaxRefusals = 3;

  struct Call {
    std::size_t node = 0;
    std::size_t route = 0;
    TimePoint arrived{};
    TimePoint queued_at{};
    std::vector<std::string> excluded;
    bool started = false;
  };
  using CallRef = std::shared_ptr<Call>;

  struct Instance {
    explicit Instance(const Clock& clock) : estimator(clock) {}
    WorkTimeEstimator estimator;
    std::uint32_t in_flight = 0;
    std::deque<CallRef> queue;
    double noise_factor = 1;
  };

  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::tie(other.due, other.order) < std::tie(this->due, this->order);
    }
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  static Duration FromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  double Uniform() { return static_cast<double>(this->random.Next() >> 11) * 0x1.0p-53; }
  double Exponential() { return -std::log(1 - this->Uniform()); }
  std::uint32_t Limit() const { return static_cast<std::uint32_t>(this->plan.slots * 0.94); }
  Duration Elapsed() const { return this->clock.Now() - this->begin; }

  void At(Duration delay, std::function<void()> call) {
    this->events.push({this->clock.Now() + delay, this->order++, std::move(call)});
  }

  std::vector<double> Latencies(Duration from, Duration to) const {
    std::vector<double> latencies;
    for (const Sample& sample : this->samples) {
      if (sample.arrived >= from && sample.arrived < to && sample.instance >= 0) {
        latencies.push_back(Seconds(sample.latency) * 1000);
      }
    }
    return latencies;
  }

  double SpeedOf(std::size_t index) const {
    const double factor = this->plan.factor ? this->plan.factor(index, this->Elapsed()) : 1;
    return this->plan.speeds[index] * factor / this->instances[index]->noise_factor;
  }

  void ChangeNoise(std::size_t index) {
    Instance& instance = *this->instances[index];
    const bool starts = instance.noise_factor == 1;
    const double slow_seconds = 0.6;
    instance.noise_factor = starts ? 2.5 : 1;
    const double pause = slow_seconds * (1 / this->plan.noise - 1) * this->Exponential();
    if (this->Elapsed() < this->plan.length) {
      this->At(FromSeconds(starts ? slow_seconds : pause),
               [this, index] { this->ChangeNoise(index); });
    }
  }

  void TellTrueSpeeds() {
    if (this->plan.placement != Placement::kKnown) {
      return;
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      for (std::size_t route = 0; route < kWork.size(); ++route) {
        const WorkTimeReport report{FromSeconds(Seconds(kWork[route]) / this->SpeedOf(i)), 127,
                                    Duration::zero()};
        for (const auto& balancer : this->balancers) {
          balancer->OnWorkTime(std::to_string(i), static_cast<std::uint32_t>(route + 1), report);
        }
      }
    }
    if (this->Elapsed() < this->plan.length) {
      this->At(std::chrono::milliseconds(20), [this] { this->TellTrueSpeeds(); });
    }
  }

  void Arrive() {
    const auto call = std::make_shared<Call>();
    call->node = this->random.NextBelow(this->plan.nodes);
    call->route = this->random.NextBelow(kWork.size());
    call->arrived = this->clock.Now();
    this->Send(call);
    const double rate = this->Capacity() * this->plan.load;
    if (this->Elapsed() < this->plan.length) {
      this->At(FromSeconds(this->Exponential() / rate), [this] { this->Arrive(); });
    }
  }

  void Send(const CallRef& call) {
    ZoneAwareLoadBalancer& balancer = *this->balancers[call->node];
    const std::string name(balancer.Choose("s", call->excluded));
    if (name.empty()) {
      this->End(call, -1);
      return;
    }
    balancer.OnSent(name);
    ++this->sends;
    const std::size_t zones = this->plan.zones.size();
    this->foreign_sends += std::stoul(name) % zones == call->node % zones ? 0 : 1;
    this->At(kTransit, [this, call, index = std::stoul(name)] { this->Receive(call, index); });
  }

  void Receive(const CallRef& call, std::size_t index) {
    Instance& instance = *this->instances[index];
    call->queued_at = this->clock.Now();
    call->started = false;
    if (instance.in_flight < this->Limit()) {
      this->Start(call, index);
      return;
    }
    instance.queue.push_back(call);
    this->At(kMaxWait, [this, call, index, queued_at = call->queued_at] {
      std::deque<CallRef>& queue = this->instances[index]->queue;
      const auto found = std::find(queue.begin(), queue.end(), call);
      if (found != queue.end() && call->queued_at == queued_at) {
        queue.erase(found);
        this->Reply(call, index, false);
      }
    });
  }

  void Start(const CallRef& call, std::size_t index) {
    Instance& instance = *this->instances[index];
    ++instance.in_flight;
    // The sum of four exponential variables with mean 1/4.
    double factor = 0;
    for (int i = 0; i < 4; ++i) {
      factor += this->Exponential() / 4;
    }
    const double knee = instance.in_flight >= 0.95 * this->plan.slots ? this->plan.knee : 1;
    const Duration work =
        FromSeconds(Seconds(kWork[call->route]) * factor * knee / this->SpeedOf(index));
    this->At(work, [this, call, index, work] {
      Instance& ended = *this->instances[index];
      --ended.in_flight;
      ended.estimator.Record(static_cast<std::uint32_t>(call->route + 1), work);
      if (!ended.queue.empty()) {
        const CallRef next = ended.queue.front();
        ended.queue.pop_front();
        this->Start(next, index);
      }
      this->Reply(call, index, true);
    });
  }

  void Reply(const CallRef& call, std::size_t index, bool success) {
    const Instance& instance = *this->instances[index];
    LoadReport load;
    load.limit = this->Limit();
    load.in_flight = instance.in_flight;
    load.queued = static_cast<std::uint32_t>(instance.queue.size());
    const auto route = static_cast<std::uint32_t>(call->route + 1);
    this->At(kTransit, [this, call, index, success, load, route,
                        report = instance.estimator.Report(route)] {
      ZoneAwareLoadBalancer& balancer = *this->balancers[call->node];
      const std::string name = std::to_string(index);
      balancer.OnLoad(name, load);
      if (this->plan.placement == Placement::kLearned) {
        balancer.OnWorkTime(name, route, report);
      }
      balancer.OnOutcome(name, success ? InstanceOutcome::kGood : InstanceOutcome::kRefused);
      if (success) {
        this->End(call, static_cast<int>(index));
        return;
      }
      call->excluded.push_back(name);
      if (call->excluded.size() >= kMaxRefusals) {
        this->End(call, -1);
      } else {
        this->Send(call);
      }
    });
  }

  void End(const CallRef& call, int instance) {
    this->samples.push_back(
        {call->arrived - this->begin, this->clock.Now() - call->arrived, instance});
  }

  const Plan plan;
  FakeClock clock;
  SeededRandom random;
  const TimePoint begin;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<ZoneAwareLoadBalancer>> balancers;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  std::vector<Sample> samples;
  std::uint64_t sends = 0;
  std::uint64_t foreign_sends = 0;
};

}  // namespace masticpin
