#include "masticpin/routing/subset_load_balancer.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace masticpin {

SubsetLoadBalancer::SubsetLoadBalancer(MemberTable& members,
                                       ThresholdCache& thresholds,
                                       const Clock& clock,
                                       RandomSource& random,
                                       Settings settings)
    : members(members), thresholds(thresholds), clock(clock), random(random), settings(settings) {
  this->members.AddObserver(*this);
}

SubsetLoadBalancer::~SubsetLoadBalancer() {
  this->members.RemoveObserver(*this);
}

Ref<const Member> SubsetLoadBalancer::Select(const SelectionRequest& request) {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return nullptr;
  }
  const Service& service = found->second;
  const TimePoint now = this->clock.Now();
  Choice choice = this->ChooseFrom(service, service.subset, request, now);
  // Use instances outside of the subset only if it has no working one. An overloaded subset is no
  // reason, because a surge would then open connections to all instances of the service.
  if (choice.tier >= Tier::kZeroLimit && service.subset.size() < service.instances.size()) {
    const Choice other = this->ChooseFrom(service, {}, request, now);
    if (other.tier < choice.tier) {
      choice = other;
    }
  }
  return choice.instance == nullptr ? nullptr : choice.instance->member;
}

SubsetLoadBalancer::Choice SubsetLoadBalancer::ChooseFrom(const Service& service,
                                                          std::span<const std::uint32_t> subset,
                                                          const SelectionRequest& request,
                                                          TimePoint now) {
  // Collect the candidates of the best tier and the averages of all recent load reports, weighted
  // by freshness.
  Tier best = Tier::kUnusable;
  double total_share = 0;
  double weight = 0;
  double utilisation = 0;
  double limit = 0;
  this->candidates.clear();
  const std::size_t count = subset.empty() ? service.instances.size() : subset.size();
  for (std::size_t i = 0; i < count; ++i) {
    const Instance& instance = service.instances[subset.empty() ? i : subset[i]];
    const double freshness = this->FreshnessOf(instance, now);
    if (freshness > 0 && instance.load.limit > 0) {
      weight += freshness;
      limit += freshness * instance.load.limit;
      utilisation += freshness * (instance.load.in_flight + instance.load.queued) /
                     static_cast<double>(instance.load.limit);
    }
    const Tier tier = this->TierOf(instance, request, now);
    if (tier == Tier::kUnusable || tier > best) {
      continue;
    }
    if (tier < best) {
      best = tier;
      total_share = 0;
      this->candidates.clear();
    }
    const double share = this->ShareOf(*instance.member, now);
    total_share += share;
    this->candidates.push_back(Candidate{&instance, share});
  }
  if (this->candidates.empty()) {
    return Choice{};
  }
  Means means;
  if (weight > 0) {
    means.utilisation = utilisation / weight;
    means.limit = limit / weight;
  }
  // Draw two different candidates, each with a probability proportional to its share.
  const std::size_t first = this->DrawCandidate(total_share);
  const Candidate a = this->candidates[first];
  if (this->candidates.size() == 1) {
    return Choice{a.instance, best};
  }
  this->candidates[first] = this->candidates.back();
  this->candidates.pop_back();
  const Candidate b = this->candidates[this->DrawCandidate(total_share - a.share)];
  return Choice{this->BetterOf(a, b, means, now), best};
}

std::size_t SubsetLoadBalancer::DrawCandidate(double total_share) {
  // 2^-53 times a 53-bit number is a uniform number in [0, 1).
  double point = static_cast<double>(this->random.Next() >> 11) * 0x1.0p-53 * total_share;
  for (std::size_t i = 0; i + 1 < this->candidates.size(); ++i) {
    point -= this->candidates[i].share;
    if (point < 0) {
      return i;
    }
  }
  return this->candidates.size() - 1;
}

const SubsetLoadBalancer::Instance* SubsetLoadBalancer::BetterOf(const Candidate& a,
                                                                 const Candidate& b,
                                                                 const Means& means,
                                                                 TimePoint now) const {
  const double a_score = this->ScoreOf(a, means, now);
  const double b_score = this->ScoreOf(b, means, now);
  const std::string& local_zone = this->members.Self().zone;
  const bool a_local = a.instance->member->zone == local_zone;
  const bool b_local = b.instance->member->zone == local_zone;
  if (a_local == b_local) {
    // The candidates were drawn in random order, so a tie needs no further random choice.
    return a_score <= b_score ? a.instance : b.instance;
  }
  const Candidate& local = a_local ? a : b;
  const Candidate& other = a_local ? b : a;
  const double local_score = a_local ? a_score : b_score;
  const double other_score = a_local ? b_score : a_score;
  const double bound = other_score * this->settings.zone_preference + this->settings.zone_slack;
  return local_score <= bound ? local.instance : other.instance;
}

SubsetLoadBalancer::Tier SubsetLoadBalancer::TierOf(const Instance& instance,
                                                    const SelectionRequest& request,
                                                    TimePoint now) const {
  const Member& member = *instance.member;
  if (member.state == MemberState::kLeaving || !member.HasContact()) {
    return Tier::kUnusable;
  }
  for (const InstanceId& excluded : request.excluded) {
    if (excluded.name == member.id.name) {
      return Tier::kUnusable;
    }
  }
  if (member.state == MemberState::kUnreachable) {
    return request.usable_as_probe && member.retry_at <= now ? Tier::kProbe : Tier::kUnusable;
  }
  if (instance.load.limit == 0 && this->FreshnessOf(instance, now) > 0) {
    return Tier::kZeroLimit;
  }
  if (member.unverified) {
    return Tier::kUnverified;
  }
  return this->thresholds.Admits(member.id.incarnation, request.priority) ? Tier::kGood
                                                                          : Tier::kRefuses;
}

double SubsetLoadBalancer::FreshnessOf(const Instance& instance, TimePoint now) const {
  const Duration age = now - instance.load_at;
  if (!instance.load_known || age >= this->settings.report_max_age) {
    return 0;
  }
  return 1 - static_cast<double>(age.count()) /
                 static_cast<double>(this->settings.report_max_age.count());
}

double SubsetLoadBalancer::ShareOf(const Member& member, TimePoint now) const {
  const Duration age = now - member.first_seen;
  if (age >= this->settings.cold_ramp || member.self) {
    return 1;
  }
  return this->settings.cold_share + (1 - this->settings.cold_share) *
                                         static_cast<double>(age.count()) /
                                         static_cast<double>(this->settings.cold_ramp.count());
}

double SubsetLoadBalancer::ScoreOf(const Candidate& candidate,
                                   const Means& means,
                                   TimePoint now) const {
  // A cold instance counts as a smaller one. An unknown load counts as the average and is not
  // scaled by the share: if a new instance seemed more loaded than the average, it would never be
  // chosen and never report its load.
  const Instance& instance = *candidate.instance;
  double utilisation = means.utilisation;
  double limit = means.limit;
  const double freshness = this->FreshnessOf(instance, now);
  if (freshness > 0 && instance.load.limit > 0) {
    const double reported =
        (instance.load.in_flight + instance.load.queued) / static_cast<double>(instance.load.limit);
    utilisation += freshness * (reported / candidate.share - means.utilisation);
    limit += freshness * (instance.load.limit - means.limit);
  }
  return utilisation + instance.outstanding / (limit * candidate.share);
}

void SubsetLoadBalancer::OnSent(const InstanceId& id) {
  Instance* instance = this->FindInstance(id);
  if (instance == nullptr) {
    return;
  }
  ++instance->outstanding;
  if (instance->member->state == MemberState::kUnreachable) {
    this->members.OnProbe(id);
  }
}

void SubsetLoadBalancer::OnReply(const InstanceId& id) {
  Instance* instance = this->FindInstance(id);
  if (instance == nullptr) {
    return;
  }
  if (instance->outstanding > 0) {
    --instance->outstanding;
  }
  this->members.OnSuccess(id);
}

void SubsetLoadBalancer::OnFailure(const InstanceId& id) {
  Instance* instance = this->FindInstance(id);
  if (instance == nullptr) {
    return;
  }
  if (instance->outstanding > 0) {
    --instance->outstanding;
  }
  this->members.OnFailure(id);
}

void SubsetLoadBalancer::OnLoad(const InstanceId& id, const LoadReport& load) {
  Instance* instance = this->FindInstance(id);
  if (instance == nullptr) {
    return;
  }
  instance->load = load;
  instance->load_at = this->clock.Now();
  instance->load_known = true;
  this->thresholds.Update(id.incarnation, load.threshold);
}

void SubsetLoadBalancer::ForgetLoads() {
  for (auto& [name, service] : this->services) {
    for (Instance& instance : service.instances) {
      instance.load_known = false;
    }
  }
  this->thresholds.Clear();
}

std::uint32_t SubsetLoadBalancer::Outstanding(const InstanceId& id) const {
  const Instance* instance = this->FindInstance(id);
  return instance == nullptr ? 0 : instance->outstanding;
}

std::vector<Ref<const Member>> SubsetLoadBalancer::Subset(std::string_view service) const {
  std::vector<Ref<const Member>> subset;
  const auto found = this->services.find(service);
  if (found != this->services.end()) {
    for (const std::uint32_t position : found->second.subset) {
      subset.push_back(found->second.instances[position].member);
    }
  }
  return subset;
}

void SubsetLoadBalancer::OnMemberAdded(const Member& member) {
  this->Add(member);
}

void SubsetLoadBalancer::OnMemberChanged(const Member& member, std::uint64_t previous_incarnation) {
  const auto position = this->positions.find(member.id.name);
  assert(position != this->positions.end());
  Service& service = *position->second.service;
  Instance& instance = service.instances[position->second.index];
  if (&service != &this->services[member.service]) {
    this->Remove(member.id.name);
    this->Add(member);
    return;
  }
  if (previous_incarnation != member.id.incarnation) {
    // Information about the old process does not apply to the new one.
    this->thresholds.Forget(previous_incarnation);
    instance.load_known = false;
    instance.outstanding = 0;
  }
  this->RebuildSubset(service);
}

void SubsetLoadBalancer::OnMemberRemoved(const Member& member) {
  this->thresholds.Forget(member.id.incarnation);
  this->Remove(member.id.name);
}

void SubsetLoadBalancer::Add(const Member& member) {
  Service& service = this->services[member.service];
  Instance instance;
  instance.member = Ref<const Member>(&member);
  // Rendezvous hashing: each node orders the instances by a hash of both names, so that a
  // membership change only affects the connections of the instance concerned. A node uses itself
  // first.
  const std::string& own_name = this->members.Self().id.name;
  instance.weight = member.self
                        ? std::numeric_limits<std::uint64_t>::max()
                        : XXH3_64bits_withSeed(member.id.name.data(), member.id.name.size(),
                                               XXH3_64bits(own_name.data(), own_name.size()));
  this->positions[member.id.name] =
      Position{&service, static_cast<std::uint32_t>(service.instances.size())};
  service.instances.push_back(std::move(instance));
  this->candidates.reserve(service.instances.size());
  this->order.reserve(service.instances.size());
  this->RebuildSubset(service);
}

void SubsetLoadBalancer::Remove(std::string_view name) {
  const auto found = this->positions.find(name);
  assert(found != this->positions.end());
  const Position position = found->second;
  this->positions.erase(found);
  std::vector<Instance>& instances = position.service->instances;
  if (position.index + 1 != instances.size()) {
    instances[position.index] = std::move(instances.back());
    this->positions.find(instances[position.index].member->id.name)->second = position;
  }
  instances.pop_back();
  this->RebuildSubset(*position.service);
}

void SubsetLoadBalancer::RebuildSubset(Service& service) {
  // Order all instances that are not leaving by zone (local zone first) and weight.
  const std::string& local_zone = this->members.Self().zone;
  this->order.clear();
  for (std::uint32_t i = 0; i < service.instances.size(); ++i) {
    if (service.instances[i].member->state != MemberState::kLeaving) {
      this->order.push_back(i);
    }
  }
  const auto heavier = [&service](std::uint32_t a, std::uint32_t b) {
    return service.instances[a].weight > service.instances[b].weight;
  };
  const auto others = std::partition(this->order.begin(), this->order.end(), [&](std::uint32_t i) {
    return service.instances[i].member->zone == local_zone;
  });
  const auto local_count = static_cast<std::size_t>(others - this->order.begin());
  const std::size_t other_count = this->order.size() - local_count;
  // Places that one group cannot fill go to the other group.
  const std::size_t total = std::min(this->settings.subset_size, this->order.size());
  std::size_t local = std::min(local_count, std::min(total, this->settings.subset_local_zone));
  const std::size_t other = std::min(other_count, total - local);
  local = std::min(local_count, total - other);
  std::partial_sort(this->order.begin(), this->order.begin() + static_cast<std::ptrdiff_t>(local),
                    others, heavier);
  std::partial_sort(others, others + static_cast<std::ptrdiff_t>(other), this->order.end(),
                    heavier);
  service.subset.assign(this->order.begin(),
                        this->order.begin() + static_cast<std::ptrdiff_t>(local));
  service.subset.insert(service.subset.end(), others, others + static_cast<std::ptrdiff_t>(other));
}

SubsetLoadBalancer::Instance* SubsetLoadBalancer::FindInstance(const InstanceId& id) {
  const auto position = this->positions.find(std::string_view(id.name));
  if (position == this->positions.end()) {
    return nullptr;
  }
  Instance& instance = position->second.service->instances[position->second.index];
  return instance.member->id.incarnation == id.incarnation ? &instance : nullptr;
}

const SubsetLoadBalancer::Instance* SubsetLoadBalancer::FindInstance(const InstanceId& id) const {
  return const_cast<SubsetLoadBalancer*>(this)->FindInstance(id);
}

}  // namespace masticpin
