#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/routing/instance_directory_observer.h"
#include "masticpin/routing/instance_outcome.h"
#include "masticpin/routing/load_report.h"
#include "masticpin/routing/placement_score.h"
#include "masticpin/routing/speed_estimate.h"
#include "masticpin/routing/speed_observer.h"
#include "masticpin/routing/speed_summary.h"

namespace masticpin {

struct ZoneAwareLoadBalancerSettings {
  /// Utilisation up to which an instance of the local zone is preferred to all others. Queueing
  /// starts well above it, so that preferring the zone costs no waiting time.
  double zone_utilisation = 0.7;
  /// Above that, an instance in another zone is chosen only if its utilisation is lower by more
  /// than this margin. Without it, requests would move between zones because of load reports that
  /// are a few milliseconds old.
  double zone_margin = 0.1;
  /// Age from which a load report is ignored.
  Duration report_max_age = std::chrono::seconds(1);
  /// Weight of one outcome in the moving average of the failure share. With 1/16, an instance that
  /// fails half of its requests exceeds `failure_tolerance` after about five of them.
  double failure_weight = 1.0 / 16;
  /// Failure share up to which an instance counts as healthy: single lost responses occur
  /// everywhere.
  double failure_tolerance = 0.15;
  /// Factor by which the failure share above the tolerance is added to the utilisation.
  double failure_penalty = 4;
  /// Time in which the failure share of an instance without outcomes falls to about a third (1/e),
  /// so that its recovery is noticed.
  Duration failure_decay_time = std::chrono::seconds(3);
  /// Back-off after the node of an instance could not be reached; doubles up to the maximum.
  Duration initial_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(2);
  /// Maximum time from the announcement that a node stops until it has stopped.
  Duration leaving_timeout = std::chrono::seconds(6);
  /// Minimum time between two probes of an instance whose node was lost; each probe is one request.
  Duration probe_interval = std::chrono::milliseconds(300);
  /// Share of the capacity that is available while the instance is cold.
  double cold_capacity = 0.5;

  /// Whether to learn the speed of instances and to compare expected times instead of utilisations.
  /// Without it, the settings below have no effect.
  bool learn_speed = false;
  SpeedEstimateSettings speed;
  /// Margin by which the score of an instance in another zone must be lower to leave the zone only
  /// because of a speed. It is more than a fifth of the expected time, so that bytes between zones
  /// are spent for a clear gain.
  double speed_zone_margin = 0.5;
  /// Pace from which an instance counts as slow and gets no retries. A server of half of the usual
  /// speed is part of the service's capacity; one that needs three times as long has a fault.
  double slow_pace = 3;
  /// Share of the requests with which slow instances are tried to notice their recovery. It stays
  /// below 1 %, so that the trials do not affect 99 of 100 requests.
  double trial_share = 0.005;
  /// Minimum age of an estimate before a trial.
  Duration trial_age = std::chrono::milliseconds(500);
  /// Above this number of instances of a service with uneven speeds, random ones are compared: so
  /// many of the own zone and as many of all zones. Comparing 1,000 takes longer than 2 us.
  std::size_t max_compared = 64;
  std::size_t sample_size = 16;
};

/// Chooses the instance that executes a request, from load reports and from the outcomes of
/// requests that this node sent. Prefers instances of the local zone. Sends no separate health
/// checks. Not thread-safe.
class ZoneAwareLoadBalancer : public InstanceDirectoryObserver {
 public:
  using Settings = ZoneAwareLoadBalancerSettings;

  /// `clock` and `random` must outlive the load balancer, and so must `speed_observer` if it is not
  /// nullptr.
  ZoneAwareLoadBalancer(std::string local_zone,
                        const Clock& clock,
                        RandomSource& random,
                        Settings settings = {},
                        SpeedObserver* speed_observer = nullptr);

  /// Returns the name of the instance of `service` to use, or an empty view if there is none. Names
  /// in `excluded` are not chosen; if `allowed` is not empty, only names in it are chosen. The view
  /// is valid until the next change of the directory.
  std::string_view Choose(std::string_view service,
                          std::span<const std::string> excluded,
                          std::span<const std::string> allowed = {});

  /// Returns the instance of `service`, other than `excluded`, whose retry budget covers the most
  /// retries, or an empty view if none is known to cover one. The view is valid until the next
  /// change of the directory.
  std::string_view InstanceWithMostRetriesLeft(std::string_view service,
                                               std::string_view excluded) const;

  /// Records that a request was sent; each OnSent() is followed by one OnOutcome().
  void OnSent(std::string_view name);
  void OnOutcome(std::string_view name, InstanceOutcome outcome);

  /// Receives a load report from the node of the instance.
  void OnLoad(std::string_view name, const LoadReport& load);

  /// Receives the recent work time of a route at the instance from its node. `route` is the same
  /// number for the same route of the service.
  void OnWorkTime(std::string_view name, std::uint32_t route, const WorkTimeReport& report);

  /// Returns what is known about the speed of all instances.
  SpeedSummary SummarizeSpeeds() const;

  /// Returns the pace that is assumed for the instance; 1 if it is unknown.
  double PaceOf(std::string_view name) const;

  /// Called when the node of the instance is about to stop: it gets no new requests until the
  /// connection to it has closed or `leaving_timeout` has passed.
  void OnNodeLeaving(std::string_view name);

  /// Called when the node has not replied for a while, as if a request had failed with kNodeLost.
  /// If its host responds, the instance gets no new requests until the node responds or the
  /// connection has closed, because its connection shows that without a request as a probe.
  void OnNodeSilent(std::string_view name, bool host_responds);

  /// Called when the connection to the node has closed. If the node was stopping, its instance is
  /// usable again after `initial_backoff`, because the node may start again soon.
  void OnNodeClosed(std::string_view name);

  /// Number of known instances of `service`, in any state.
  std::size_t CountInstances(std::string_view service) const;

  void OnInstanceUpdated(const UpstreamInstance& instance) override;
  void OnInstanceRemoved(std::string_view name) override;

 private:
  struct Candidate {
    std::string name;
    std::string service;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Whether the node does not reply, but its host responds.
    bool silent = false;
    /// Until this time the node is assumed to be stopping.
    TimePoint leaving_until{};
    TimePoint cold_until{};
    std::uint64_t incarnation = 0;

    LoadReport load;
    TimePoint load_at{};
    bool load_known = false;
    /// Requests of this node without an outcome, and requests sent since the last load report.
    std::uint32_t outstanding = 0;
    std::uint32_t sent_since_report = 0;

    double failure_share = 0;
    TimePoint failure_at{};
    Duration backoff{};
    TimePoint retry_at{};

    SpeedRecord speed;
  };
  using Candidates = std::vector<std::unique_ptr<Candidate>>;

  /// The instances of one service.
  struct Service {
    explicit Service(const SpeedEstimateSettings& settings) : speeds(settings) {}

    Candidates candidates;
    /// Those of the local zone.
    std::vector<Candidate*> local;
    SpeedEstimate speeds;
    /// Trials of slow instances that are due; rises with each request, up to one.
    double trials = 0;
  };

  /// The best candidates that were found so far. Lower scores are better.
  struct Selection {
    const Candidate* local = nullptr;
    const Candidate* other = nullptr;
    const Candidate* last_resort = nullptr;
    /// Slow instance of the local zone whose speed was measured longest ago.
    const Candidate* trial = nullptr;
    double local_score = 0;
    double other_score = 0;
    /// Lowest utilisation in the local zone, whatever the speeds.
    double zone_utilisation = 0;
  };

  struct Request {
    std::span<const std::string> excluded;
    std::span<const std::string> allowed;
    TimePoint now;
    bool is_retry = false;
  };

  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  Candidate* Find(std::string_view name);
  void SetZone(Candidate& candidate, const std::string& zone);
  /// Starts a back-off, or extends one that has ended.
  void BackOff(Candidate& candidate);
  bool IsUsable(const Candidate& candidate, TimePoint now) const;
  /// Utilisation of the instance: 1 if all slots are in use, above 1 if requests are queued.
  double Utilisation(const Candidate& candidate, TimePoint now) const;
  /// Penalty for failures, which is added to the score.
  double FailurePenalty(const Candidate& candidate, TimePoint now) const;
  /// Compares a candidate with the best ones.
  void Consider(const Service& service,
                const Candidate& candidate,
                const Request& request,
                Selection& selection) const;
  /// Compares all candidates, or a sample of them.
  Selection Select(const Service& service, const Request& request);
  /// Returns the instance to choose.
  const Candidate* Decide(const Selection& selection, bool is_retry) const;
  void UpdateSpeeds(std::string_view service_name, Service& service, TimePoint now);
  double FailureShare(const Candidate& candidate, TimePoint now) const;

  const std::string local_zone;
  const Clock& clock;
  RandomSource& random;
  const Settings settings;
  const std::unique_ptr<const PlacementScore> score;
  SpeedObserver* const speed_observer;
  std::unordered_map<std::string, Service, StringHash, std::equal_to<>> services;
  std::unordered_map<std::string, Candidate*, StringHash, std::equal_to<>> by_name;
};

}  // namespace masticpin
