#include "masticpin/routing/zone_aware_load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "masticpin/routing/finish_time_score.h"
#include "masticpin/routing/utilisation_score.h"

namespace masticpin {
namespace {

/// Added to the score of slow instances for retries: above all other scores, so that they are
/// chosen only if no other instance is usable.
constexpr double kSlowRetryPenalty = 1000;

std::unique_ptr<const PlacementScore> MakeScore(bool learn_speed) {
  if (learn_speed) {
    return std::make_unique<FinishTimeScore>();
  }
  return std::make_unique<UtilisationScore>();
}

bool Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

ZoneAwareLoadBalancer::ZoneAwareLoadBalancer(std::string local_zone,
                                             const Clock& clock,
                                             RandomSource& random,
                                             Settings settings,
                                             SpeedObserver* speed_observer)
    : local_zone(std::move(local_zone)),
      clock(clock),
      random(random),
      settings(settings),
      score(MakeScore(settings.learn_speed)),
      speed_observer(speed_observer) {}

std::string_view ZoneAwareLoadBalancer::Choose(std::string_view service_name,
                                               std::span<const std::string> excluded,
                                               std::span<const std::string> allowed) {
  const auto found = this->services.find(service_name);
  if (found == this->services.end()) {
    return {};
  }
  Service& service = found->second;
  const Request request{excluded, allowed, this->clock.Now(),
                        !excluded.empty() || !allowed.empty()};
  this->UpdateSpeeds(service_name, service, request.now);
  const Selection selection = this->Select(service, request);
  if (!request.is_retry && service.speeds.IsUneven()) {
    service.trials = std::min(service.trials + this->settings.trial_share, 1.0);
    if (selection.trial != nullptr && service.trials >= 1) {
      service.trials = 0;
      return selection.trial->name;
    }
  }
  const Candidate* chosen = this->Decide(selection, request.is_retry);
  return chosen == nullptr ? std::string_view() : std::string_view(chosen->name);
}

ZoneAwareLoadBalancer::Selection ZoneAwareLoadBalancer::Select(const Service& service,
                                                               const Request& request) {
  Selection selection;
  const Candidates& candidates = service.candidates;
  const std::size_t count = candidates.size();
  if (service.speeds.IsUneven() && count > this->settings.max_compared && request.allowed.empty()) {
    for (std::size_t i = 0; i < this->settings.sample_size; ++i) {
      if (!service.local.empty()) {
        this->Consider(service, *service.local[this->random.NextBelow(service.local.size())],
                       request, selection);
      }
      this->Consider(service, *candidates[this->random.NextBelow(count)], request, selection);
    }
    if (selection.local != nullptr || selection.other != nullptr) {
      return selection;
    }
    selection = Selection{};
  }
  // The search starts at a random position, which decides between equal scores, so that idle
  // instances share the requests.
  const std::size_t start = count == 0 ? 0 : this->random.NextBelow(count);
  for (std::size_t i = 0; i < count; ++i) {
    this->Consider(service, *candidates[(start + i) % count], request, selection);
  }
  return selection;
}

void ZoneAwareLoadBalancer::Consider(const Service& service,
                                     const Candidate& candidate,
                                     const Request& request,
                                     Selection& selection) const {
  if (Contains(request.excluded, candidate.name) ||
      (!request.allowed.empty() && !Contains(request.allowed, candidate.name))) {
    return;
  }
  const TimePoint now = request.now;
  if (!this->IsUsable(candidate, now)) {
    // If all nodes are in back-off, the one whose back-off ends first is used.
    if (!candidate.draining && candidate.leaving_until <= now &&
        (selection.last_resort == nullptr ||
         candidate.retry_at < selection.last_resort->retry_at)) {
      selection.last_resort = &candidate;
    }
    return;
  }
  const bool own = candidate.zone == this->local_zone;
  const double pace = service.speeds.PaceOf(candidate.speed, candidate.outstanding > 0, now);
  const double utilisation = this->Utilisation(candidate, now);
  double total = this->score->Score(utilisation, pace) + this->FailurePenalty(candidate, now);
  if (pace > 1) {
    if (request.is_retry && pace >= this->settings.slow_pace) {
      total += kSlowRetryPenalty;
    }
    if (own && candidate.outstanding == 0 &&
        now - candidate.speed.measured_at >= this->settings.trial_age &&
        (selection.trial == nullptr ||
         candidate.speed.measured_at < selection.trial->speed.measured_at)) {
      selection.trial = &candidate;
    }
  }
  if (own) {
    selection.zone_utilisation = selection.local == nullptr
                                     ? utilisation
                                     : std::min(selection.zone_utilisation, utilisation);
    if (selection.local == nullptr || total < selection.local_score) {
      selection.local = &candidate;
      selection.local_score = total;
    }
  } else if (selection.other == nullptr || total < selection.other_score) {
    selection.other = &candidate;
    selection.other_score = total;
  }
}

const ZoneAwareLoadBalancer::Candidate* ZoneAwareLoadBalancer::Decide(const Selection& selection,
                                                                      bool is_retry) const {
  // Prefer the local zone while it costs no waiting time, and no clearly longer work time.
  const Candidate* chosen = selection.local;
  const bool loaded = is_retry || selection.zone_utilisation > this->settings.zone_utilisation;
  const double margin = this->settings.learn_speed && !loaded ? this->settings.speed_zone_margin
                                                              : this->settings.zone_margin;
  if (selection.local == nullptr ||
      (selection.other != nullptr && selection.local_score > this->settings.zone_utilisation &&
       selection.other_score + margin < selection.local_score)) {
    chosen = selection.other;
  }
  return chosen == nullptr ? selection.last_resort : chosen;
}

void ZoneAwareLoadBalancer::UpdateSpeeds(std::string_view service_name,
                                         Service& service,
                                         TimePoint now) {
  if (!this->settings.learn_speed || !service.speeds.UpdateIfDue(now)) {
    return;
  }
  const SpeedEstimateSettings& speed = this->settings.speed;
  for (const auto& candidate : service.candidates) {
    SpeedRecord& record = candidate->speed;
    const double change = record.pace / record.announced_pace;
    const bool announced_recently =
        record.announced_at != TimePoint{} && now - record.announced_at < speed.announce_pause;
    if (std::max(change, 1 / change) < speed.announced_factor || announced_recently) {
      continue;
    }
    if (this->speed_observer != nullptr) {
      this->speed_observer->OnSpeedChanged(service_name, candidate->name, record.announced_pace,
                                           record.pace);
    }
    record.announced_pace = record.pace;
    record.announced_at = now;
  }
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
  for (const auto& candidate : found->second.candidates) {
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

void ZoneAwareLoadBalancer::OnWorkTime(std::string_view name,
                                       std::uint32_t route,
                                       const WorkTimeReport& report) {
  Candidate* candidate = this->Find(name);
  if (candidate != nullptr && this->settings.learn_speed) {
    this->services.find(candidate->service)
        ->second.speeds.OnReport(candidate->speed, route, report, this->clock.Now());
  }
}

SpeedSummary ZoneAwareLoadBalancer::SummarizeSpeeds() const {
  SpeedSummary summary;
  const TimePoint now = this->clock.Now();
  for (const auto& [name, candidate] : this->by_name) {
    const Service& service = this->services.find(candidate->service)->second;
    const double pace = service.speeds.PaceOf(candidate->speed, candidate->outstanding > 0, now);
    summary.known += service.speeds.IsKnown(candidate->speed, now) ? 1 : 0;
    summary.uneven += pace != 1 ? 1 : 0;
    summary.slow += pace >= this->settings.slow_pace ? 1 : 0;
    summary.max_pace = std::max(summary.max_pace, pace);
    summary.min_pace = std::min(summary.min_pace, pace);
  }
  return summary;
}

double ZoneAwareLoadBalancer::PaceOf(std::string_view name) const {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) {
    return 1;
  }
  const Candidate& candidate = *found->second;
  return this->services.find(candidate.service)
      ->second.speeds.PaceOf(candidate.speed, candidate.outstanding > 0, this->clock.Now());
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
  return found == this->services.end() ? 0 : found->second.candidates.size();
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
    Service& service =
        this->services.try_emplace(instance.service, this->settings.speed).first->second;
    service.candidates.push_back(std::move(added));
    service.speeds.Add(candidate->speed);
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
    candidate->speed = SpeedRecord{};
  }
  this->SetZone(*candidate, instance.zone);
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
  Service& service = this->services.find(removed->service)->second;
  std::erase(service.local, removed);
  service.speeds.Remove(removed->speed);
  std::erase_if(service.candidates,
                [removed](const auto& candidate) { return candidate.get() == removed; });
}

void ZoneAwareLoadBalancer::SetZone(Candidate& candidate, const std::string& zone) {
  candidate.zone = zone;
  std::vector<Candidate*>& local = this->services.find(candidate.service)->second.local;
  std::erase(local, &candidate);
  if (zone == this->local_zone) {
    local.push_back(&candidate);
  }
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
  // A measured pace shows how slow the cold instance really is.
  const bool measured = this->settings.learn_speed && candidate.speed.known &&
                        now - candidate.speed.measured_at < this->settings.speed.max_age;
  if (now < candidate.cold_until && !measured) {
    utilisation /= this->settings.cold_capacity;
  }
  return utilisation;
}

double ZoneAwareLoadBalancer::FailurePenalty(const Candidate& candidate, TimePoint now) const {
  const double failures = this->FailureShare(candidate, now);
  const double excess = std::max(0.0, failures - this->settings.failure_tolerance);
  return this->settings.failure_penalty * excess;
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
