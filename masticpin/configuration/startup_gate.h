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
  /// Number of peers that are queried. Three find a version that most nodes hold; sixteen cover a
  /// small fleet completely, so that a version which only a few nodes hold is found as well.
  std::size_t peers = 16;
  /// Time that the gate waits for the other sources after the first source has responded.
  Duration settle_time = std::chrono::milliseconds(500);
  /// Initial interval at which peers that have not responded are queried again, together with
  /// further peers. It doubles with each retry.
  Duration retry_interval = std::chrono::milliseconds(100);
  /// Maximum retry interval.
  Duration max_retry_interval = std::chrono::seconds(2);
  /// Maximum reads per second from the service by all starting nodes together: a node waits up to
  /// (number of members / this rate) before it reads, in case the whole fleet starts at the same
  /// time.
  double fleet_call_rate = 400;
  /// Initial and maximum back-off of further reads while neither the service nor a peer has
  /// delivered a document.
  Duration initial_backoff = std::chrono::seconds(1);
  Duration max_backoff = std::chrono::seconds(60);
  /// Maximum time that the gate waits for a version that a peer has announced but no source
  /// delivers.
  Duration fetch_timeout = std::chrono::seconds(3);
};

/// Keeps a starting node from serving before it has a configuration. Queries peers and the
/// configuration service and waits for the highest version found. Not thread-safe.
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

  /// Starts to query the sources. The member table should already hold the platform's instance
  /// list; peers that are added later are queried too.
  void Start();

  /// Called when a peer has sent its digest, after VersionGossip::OnDigest().
  void OnDigest(const InstanceId& from, const wire::VersionDigest& digest);

  void OnTimer(TimePoint now) override;

  /// Whether the node may serve. Never becomes false again.
  bool IsOpen() const { return this->open; }

  /// Source of the document with which the node began to serve; empty until then.
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
  // Whether a source that has the document has responded, and the running time of the process since
  // then. A pause of the process does not count, because responses may have been lost during it.
  bool document_found = false;
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
