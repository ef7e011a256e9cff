#include "masticpin/routing/zone_aware_load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticpin {
namespace {

bool Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

ZoneAwareLoadBalancer::ZoneAwareLoadBalancer(std::string local_zone,
                                             const Clock& clock,
                                             RandomSource& random,
                                             Settings settings)
    : local_zone(std::move(local_zone)), clock(clock), random(random), settings(settings) {}

std::string_view ZoneAwareLoadBalancer::Choose(std::string_view service,
                                               std::span<const std::string> excluded,
                                               std::span<const std::string> allowed) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return {};
  }
  const TimePoint now = this->clock.Now();

  // Find the best instance of the local zone and the best of all other zones. The search starts at
  // a random position, which decides between equal scores, so that idle instances share the
  // requests.
  const Candidates& candidates = found->second;
  const Candidate* best_local = nullptr;
  const Candidate* best_other = nullptr;
  const Candidate* last_resort = nullptr;
  double local_score = 0;
  double other_score = 0;
  const std::size_t count = candidates.size();
  const std::size_t start = count == 0 ? 0 : this->random.NextBelow(count);
  for (std::size_t i = 0; i < count; ++i) {
    const Candidate& candidate = *candidates[(start + i) % count];
    if (Contains(excluded, candidate.name) ||
        (!allowed.empty() && !Contains(allowed, candidate.name))) {
      continue;
    }
    if (!this->IsUsable(candidate, now)) {
      // If all nodes are in back-off, the one whose back-off ends first is used.
      if (!candidate.draining && candidate.leaving_until <= now &&
          (last_resort == nullptr || candidate.retry_at < last_resort->retry_at)) {
        last_resort = &candidate;
      }
      continue;
    }
    const double score = this->Score(candidate, now);
    const bool own = candidate.zone == this->local_zone;
    const Candidate*& best = own ? best_local : best_other;
    double& best_score = own ? local_score : other_score;
    if (best == nullptr || score < best_score) {
      best = &candidate;
      best_score = score;
    }
  }

  // Prefer the local zone while it costs no waiting time.
  const Candidate* chosen = best_local;
  if (best_local == nullptr ||
      (best_other != nullptr && local_score > this->settings.zone_utilisation &&
       other_score + this->settings.zone_margin < local_score)) {
    chosen = best_other;
  }
  if (chosen == nullptr) {
    chosen = last_resort;
  }
  return chosen == nullptr ? std::string_view() : std::string_view(chosen->name);
}

std::string_view ZoneAwareLoadBalancer::InstanceWithMostRetriesLeft(
    std::string_view service,
    std::string_view excluded) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return {};
  }
  const TimePoint now = this->clock.Now();
  std::uint32_t most = 0;
  std::string_view chosen;
  for (const auto& candidate : found->second) {
    if (candidate->name != excluded && candidate->load_known && candidate->retry_at <= now &&
        candidate->load.retries_left > most) {
      most = candidate->load.retries_left;
      chosen = candidate->name;
    }
  }
  return chosen;
}

void ZoneAwareLoadBalancer::OnSent(std::string_view name) {
  Candidate* candidate = this->Find(name);
  if (candidate != nullptr) {
    ++candidate->outstanding;
    ++candidate->sent_since_report;
    if (candidate->backoff > Duration::zero()) {
      // This request is the probe. Without the delay, an unresponsive node would receive all
      // requests that arrive before its connection times out.
      candidate->retry_at =
          this->clock.Now() + std::max(candidate->backoff, this->settings.probe_interval);
    }
  }
}

void ZoneAwareLoadBalancer::OnOutcome(std::string_view name, InstanceOutcome outcome) {
  Candidate* candidate = this->Find(name);
  if (candidate == nullptr) {
    return;
  }
  if (candidate->outstanding > 0) {
    --candidate->outstanding;
  }
  const TimePoint now = this->clock.Now();
  switch (outcome) {
    case InstanceOutcome::kGood:
    case InstanceOutcome::kFailed: {
      const double sample = outcome == InstanceOutcome::kFailed ? 1 : 0;
      const double share = this->FailureShare(*candidate, now);
      candidate->failure_share = share + this->settings.failure_weight * (sample - share);
      candidate->failure_at = now;
      candidate->backoff = Duration::zero();
      break;
    }
    case InstanceOutcome::kNodeLost:
      this->BackOff(*candidate);
      break;
    case InstanceOutcome::kRefused:
      candidate->backoff = Duration::zero();
      break;
    case InstanceOutcome::kNone:
      break;
  }
}

void ZoneAwareLoadBalancer::OnLoad(std::string_view name, const LoadReport& load) {
  Candidate* candidate = this->Find(name);
  if (candidate == nullptr) {
    return;
  }
  candidate->load = load;
  candidate->load_at = this->clock.Now();
  candidate->load_known = true;
  candidate->silent = false;
  candidate->sent_since_report = 0;
  candidate->backoff = Duration::zero();
  candidate->retry_at = TimePoint{};
}

void ZoneAwareLoadBalancer::OnNodeLeaving(std::string_view name) {
  Candidate* candidate = this->Find(name);
  if (candidate != nullptr) {
    candidate->leaving_until = this->clock.Now() + this->settings.leaving_timeout;
    candidate->load_known = false;
  }
}

void ZoneAwareLoadBalancer::OnNodeSilent(std::string_view name, bool host_responds) {
  Candidate* candidate = this->Find(name);
  if (candidate != nullptr) {
    candidate->silent = host_responds;
    this->BackOff(*candidate);
  }
}

void ZoneAwareLoadBalancer::OnNodeClosed(std::string_view name) {
  Candidate* candidate = this->Find(name);
  if (candidate == nullptr) {
    return;
  }
  candidate->silent = false;
  if (candidate->leaving_until > this->clock.Now()) {
    candidate->leaving_until = TimePoint{};
    candidate->backoff = this->settings.initial_backoff;
    candidate->retry_at = this->clock.Now() + candidate->backoff;
  }
}

std::size_t ZoneAwareLoadBalancer::CountInstances(std::string_view service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.size();
}

void ZoneAwareLoadBalancer::OnInstanceUpdated(const UpstreamInstance& instance) {
  Candidate* candidate = this->Find(instance.name);
  if (candidate != nullptr && candidate->service != instance.service) {
    this->OnInstanceRemoved(instance.name);
    candidate = nullptr;
  }
  if (candidate == nullptr) {
    auto added = std::make_unique<Candidate>();
    candidate = added.get();
    candidate->name = instance.name;
    candidate->service = instance.service;
    this->services[instance.service].push_back(std::move(added));
    this->by_name[instance.name] = candidate;
  }
  if (candidate->incarnation != instance.incarnation) {
    // Observations of the old process do not apply to the new one.
    candidate->incarnation = instance.incarnation;
    candidate->load_known = false;
    candidate->outstanding = 0;
    candidate->failure_share = 0;
    candidate->silent = false;
    candidate->leaving_until = TimePoint{};
  }
  candidate->zone = instance.zone;
  candidate->slots = std::max<std::uint32_t>(instance.slots, 1);
  candidate->draining = instance.state == InstanceState::kDraining;
  candidate->cold_until = this->clock.Now() + instance.cold_remaining;
}

void ZoneAwareLoadBalancer::OnInstanceRemoved(std::string_view name) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) {
    return;
  }
  const Candidate* removed = found->second;
  this->by_name.erase(found);
  std::erase_if(this->services[removed->service],
                [removed](const auto& candidate) { return candidate.get() == removed; });
}

ZoneAwareLoadBalancer::Candidate* ZoneAwareLoadBalancer::Find(std::string_view name) {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : found->second;
}

void ZoneAwareLoadBalancer::BackOff(Candidate& candidate) {
  const TimePoint now = this->clock.Now();
  // The requests of one lost connection fail together and count as one failure.
  if (now >= candidate.retry_at) {
    candidate.backoff = std::clamp(candidate.backoff * 2, this->settings.initial_backoff,
                                   this->settings.max_backoff);
    candidate.retry_at = now + candidate.backoff;
  }
  candidate.load_known = false;
}

bool ZoneAwareLoadBalancer::IsUsable(const Candidate& candidate, TimePoint now) const {
  return !candidate.draining && !candidate.silent && candidate.leaving_until <= now &&
         candidate.retry_at <= now;
}

double ZoneAwareLoadBalancer::Utilisation(const Candidate& candidate, TimePoint now) const {
  const double own = candidate.outstanding / static_cast<double>(candidate.slots);
  const Duration age = now - candidate.load_at;
  double utilisation = own;
  if (candidate.load_known && age < this->settings.report_max_age) {
    const double capacity = std::max<std::uint32_t>(candidate.load.limit, 1);
    // A limit of 0 means that the upstream accepts no connections; it counts as loaded to
    // twice its capacity.
    const double reported = candidate.load.limit == 0
                                ? 2
                                : (candidate.load.in_flight + candidate.load.queued) / capacity;
    // The report does not include the requests sent since it was received, but it includes older
    // ones.
    utilisation = std::max(own, reported + candidate.sent_since_report / capacity);
  }
  if (now < candidate.cold_until) {
    utilisation /= this->settings.cold_capacity;
  }
  return utilisation;
}

double ZoneAwareLoadBalancer::Score(const Candidate& candidate, TimePoint now) const {
  const double failures = this->FailureShare(candidate, now);
  const double excess = std::max(0.0, failures - this->settings.failure_tolerance);
  return this->Utilisation(candidate, now) + this->settings.failure_penalty * excess;
}

double ZoneAwareLoadBalancer::FailureShare(const Candidate& candidate, TimePoint now) const {
  if (candidate.failure_share == 0) {
    return 0;
  }
  const std::chrono::duration<double> age = now - candidate.failure_at;
  const std::chrono::duration<double> decay_time = this->settings.failure_decay_time;
  return candidate.failure_share * std::exp(-age.count() / decay_time.count());
}

}  // namespace masticpin
