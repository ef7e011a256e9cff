#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/admission/priority.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/membership/member_observer.h"
#include "masticpin/membership/member_table.h"
#include "masticpin/routing/load_report.h"
#include "masticpin/routing/threshold_cache.h"

namespace masticpin {

struct SubsetLoadBalancerSettings {
  /// Instances of one service that a node uses when the service is larger; 12 connections for each
  /// called service keep the number of connections independent of the fleet's size.
  std::size_t subset_size = 12;
  /// Places of the subset for the own zone: two thirds, so that the loss of the zone leaves a
  /// third.
  std::size_t subset_local_zone = 8;
  /// Time in which a reported load loses its weight.
  Duration report_max_age = std::chrono::seconds(1);
  /// Time in which a new incarnation rises from the first to the full share.
  Duration cold_ramp = std::chrono::seconds(10);
  double cold_share = 0.1;
  /// The own zone is preferred while its score is at most this multiple of the other one, plus
  /// `zone_slack`; the slack keeps single requests in flight from deciding on an idle service.
  double zone_preference = 1.2;
  double zone_slack = 0.05;
};

/// What the selector needs to know about a request.
struct SelectionRequest {
  std::string_view service;
  Priority priority;
  /// An idempotent request may serve as the probe of an instance whose back-off has ended.
  bool usable_as_probe = false;
  /// Instances that must not be chosen, for example those already tried.
  std::span<const InstanceId> excluded;
};

/// Chooses the instance that executes a request. Adds itself to the member table as an observer and
/// must be destroyed before it. Select() does not allocate. Not thread-safe.
class SubsetLoadBalancer : public MemberObserver {
 public:
  using Settings = SubsetLoadBalancerSettings;

  SubsetLoadBalancer(MemberTable& members,
                     ThresholdCache& thresholds,
                     const Clock& clock,
                     RandomSource& random,
                     Settings settings = {});
  ~SubsetLoadBalancer() override;

  /// Chooses an instance, or nullptr if the service has none that may be used. The chosen one may
  /// refuse the priority if all do: the caller asks ThresholdCache::ShouldSend() before it sends.
  Ref<const Member> Select(const SelectionRequest& request);

  /// A request was sent; each OnSent() is followed by one OnReply() or OnFailure().
  void OnSent(const InstanceId& id);
  /// A reply arrived, refusals included; its load report is passed to OnLoad() as well.
  void OnReply(const InstanceId& id);
  /// The request failed without a reply; starts the back-off of the instance.
  void OnFailure(const InstanceId& id);
  /// Takes over the load report of any received envelope.
  void OnLoad(const InstanceId& id, const LoadReport& load);

  /// Forgets all loads, after a pause of the process.
  void ForgetLoads();

  /// Own requests that wait for a reply of the instance.
  std::uint32_t Outstanding(const InstanceId& id) const;

  /// The instances of `service` that this node uses. Valid until the member table changes.
  std::vector<Ref<const Member>> Subset(std::string_view service) const;

  void OnMemberAdded(const Member& member) override;
  void OnMemberChanged(const Member& member, std::uint64_t previous_incarnation) override;
  void OnMemberRemoved(const Member& member) override;

 private:
  struct Instance {
    Ref<const Member> member;
    std::uint64_t weight = 0;
    LoadReport load;
    TimePoint load_at{};
    bool load_known = false;
    std::uint32_t outstanding = 0;
  };
  struct Service {
    std::vector<Instance> instances;
    // Positions in `instances` of the subset.
    std::vector<std::uint32_t> subset;
  };
  // Groups of candidates, the best first; a candidate is chosen from the first group that has one.
  enum class Tier : std::uint8_t { kGood, kRefuses, kUnverified, kZeroLimit, kProbe, kUnusable };
  struct Candidate {
    const Instance* instance = nullptr;
    double share = 1;
  };
  struct Position {
    Service* service = nullptr;
    std::uint32_t index = 0;
  };
  struct Choice {
    const Instance* instance = nullptr;
    Tier tier = Tier::kUnusable;
  };
  struct Means {
    double utilisation = 0;
    double limit = 1;
  };

  Instance* FindInstance(const InstanceId& id);
  const Instance* FindInstance(const InstanceId& id) const;
  void Add(const Member& member);
  void Remove(std::string_view name);
  void RebuildSubset(Service& service);
  Tier TierOf(const Instance& instance, const SelectionRequest& request, TimePoint now) const;
  double FreshnessOf(const Instance& instance, TimePoint now) const;
  double ShareOf(const Member& member, TimePoint now) const;
  double ScoreOf(const Candidate& candidate, const Means& means, TimePoint now) const;
  // Chooses among the positions of `subset`, or among all instances if it is empty.
  Choice ChooseFrom(const Service& service,
                    std::span<const std::uint32_t> subset,
                    const SelectionRequest& request,
                    TimePoint now);
  std::size_t DrawCandidate(double total_share);
  const Instance* BetterOf(const Candidate& a,
                           const Candidate& b,
                           const Means& means,
                           TimePoint now) const;

  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  MemberTable& members;
  ThresholdCache& thresholds;
  const Clock& clock;
  RandomSource& random;
  const Settings settings;
  std::unordered_map<std::string, Service, StringHash, std::equal_to<>> services;
  std::unordered_map<std::string, Position, StringHash, std::equal_to<>> positions;
  // Scratch space of Select() and RebuildSubset(), reserved when a member is added.
  std::vector<Candidate> candidates;
  std::vector<std::uint32_t> order;
};

}  // namespace masticpin
