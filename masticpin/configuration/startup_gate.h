#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/configuration/configuration_service_client.h"
#include "masticpin/configuration/document_store.h"
#include "masticpin/configuration/version_gossip.h"
#include "masticpin/membership/member_table.h"

namespace masticpin {

struct StartupGateSettings {
  /// Peers that are asked. Three find a version that most nodes hold; sixteen cover a small fleet
  /// completely, so that a version which only a few nodes hold is found as well.
  std::size_t peers = 16;
  /// How long the gate waits for the other sources after the first one has answered.
  Duration settle_time = std::chrono::milliseconds(500);
  /// Unanswered questions are repeated after this time, to other peers too.
  Duration retry_interval = std::chrono::milliseconds(100);
  /// Later repetitions, when no source answers.
  Duration max_retry_interval = std::chrono::seconds(2);
  /// Reads per second of all starting nodes together at the service: a node waits up to
  /// (members / this rate) before it reads, in case the whole fleet starts at once.
  double fleet_call_rate = 400;
  /// Back-off of further reads while neither the service nor a peer has a document.
  Duration initial_backoff = std::chrono::seconds(1);
  Duration max_backoff = std::chrono::seconds(60);
  /// How long the gate waits for a version that a peer announced and nobody delivers.
  Duration fetch_timeout = std::chrono::seconds(3);
};

/// Keeps a starting node from serving before it has a configuration. It asks peers and the service
/// and takes the highest version. Not thread-safe.
class StartupGate : public TimerSubscriber {
 public:
  using Settings = StartupGateSettings;

  StartupGate(std::string document,
              DocumentStore& store,
              VersionGossip& gossip,
              MemberTable& members,
              ConfigurationServiceClient& client,
              const Clock& clock,
              TimerService& timers,
              RandomSource& random,
              Settings settings = {});
  ~StartupGate() override;

  /// Asks the sources. The member table should hold the platform's list already; peers that appear
  /// later are asked too.
  void Start();

  /// A peer sent its digest; called after the digest was passed to VersionGossip.
  void OnDigest(const InstanceId& from, const wire::VersionDigest& digest);

  void OnTimer(TimePoint now) override;

  /// Whether the node may serve. Never becomes false again.
  bool IsOpen() const { return this->open; }

  /// Source of the document with which the node began to serve; empty before.
  const std::string& Source() const { return this->source; }

 private:
  void QueryPeers();
  void QueryService();
  void OnServiceResponse(ServiceResponse response);
  Duration ServiceSpreadInterval(Duration backoff) const;
  bool SourcesSettled(TimePoint now) const;
  void UpdateWaitTime(TimePoint now);
  void TryOpen(TimePoint now);

  const std::string document;
  DocumentStore& store;
  VersionGossip& gossip;
  MemberTable& members;
  ConfigurationServiceClient& client;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  const Settings settings;
  bool started = false;
  bool open = false;
  std::string source;
  std::set<std::string> queried;
  std::set<std::string> responded;
  std::uint64_t highest_announced = 0;
  // Whether a source with a document has answered, and for how long the process has been running
  // since. A pause does not count: answers may have been lost during it.
  bool any_response = false;
  Duration waited{};
  TimePoint last_tick{};
  bool service_responded = false;
  std::uint64_t service_call = 0;
  TimePoint service_due{};
  Duration service_backoff{};
  TimePoint next_peer_query{};
  Duration retry_interval{};
};

}  // namespace masticpin
