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
  /// Maximum number of instances of one service that a node uses; 12 connections for each called
  /// service keep the number of connections independent of the size of the fleet.
  std::size_t subset_size = 12;
  /// Places of the subset for the local zone: two thirds, so that one third remains if the zone is
  /// lost.
  std::size_t subset_local_zone = 8;
  /// Age at which a load report is ignored; its weight decreases linearly until then.
  Duration report_max_age = std::chrono::seconds(1);
  /// Time in which the share of requests of a new incarnation rises from `cold_share` to the full
  /// share.
  Duration cold_ramp = std::chrono::seconds(10);
  double cold_share = 0.1;
  /// An instance of the local zone is preferred while its score is at most this multiple of the
  /// other one's, plus `zone_slack`. Without the slack, a single request in flight would decide the
  /// choice at an idle service.
  double zone_preference = 1.2;
  double zone_slack = 0.05;
};

/// The properties of a request that affect the choice.
struct SelectionRequest {
  std::string_view service;
  Priority priority;
  /// Whether the request may probe an instance whose back-off has ended; for idempotent requests.
  bool usable_as_probe = false;
  /// Instances that must not be chosen, for example those already tried.
  std::span<const InstanceId> excluded;
};

/// Chooses the instance that executes a request: the better of two random instances of a fixed
/// subset of the service (power of two choices). Adds itself to the member table as an observer and
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

  /// Chooses an instance; nullptr if the service has no usable one. The chosen instance may be one
  /// that is expected to refuse the priority, if no better one exists: call
  /// ThresholdCache::ShouldSend() before sending.
  Ref<const Member> Select(const SelectionRequest& request);

  /// Records that a request was sent; each OnSent() is followed by one OnReply() or OnFailure().
  void OnSent(const InstanceId& id);
  /// Records that a reply was received, including a refusal; its load report is also passed to
  /// OnLoad().
  void OnReply(const InstanceId& id);
  /// Records that the request failed without a reply; starts the back-off of the instance.
  void OnFailure(const InstanceId& id);
  /// Receives the load report of any received envelope.
  void OnLoad(const InstanceId& id, const LoadReport& load);

  /// Discards all load reports and thresholds; called after a pause of the process.
  void ForgetLoads();

  /// Number of this node's requests that wait for a reply of the instance.
  std::uint32_t Outstanding(const InstanceId& id) const;

  /// The instances of `service` that this node uses. A change of the member table can change them.
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
    // Indices in `instances` of the subset.
    std::vector<std::uint32_t> subset;
  };
  // Groups of candidates in order of preference: the candidate is chosen from the first group that
  // is not empty. Instances in kUnusable are never chosen.
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
  // Chooses among the instances at the indices in `subset`, or among all instances if it is empty.
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
  // Buffers of Select() and RebuildSubset(), reserved when a member is added.
  std::vector<Candidate> candidates;
  std::vector<std::uint32_t> order;
};

}  // namespace masticpin
