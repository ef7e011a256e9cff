#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/configuration/configuration_reader.h"
#include "masticpin/configuration/configuration_service_client.h"
#include "masticpin/configuration/document_store.h"
#include "masticpin/configuration/document_transfer.h"
#include "masticpin/configuration/reader_selection.h"
#include "masticpin/configuration/startup_gate.h"
#include "masticpin/configuration/version_gossip.h"
#include "masticpin/membership/member_table.h"
#include "masticpin/membership/pause_detector.h"
#include "masticpin/routing/subset_load_balancer.h"
#include "masticpin/routing/threshold_cache.h"
#include "masticpin/wire/envelope_sender.h"

namespace masticpin {

struct FleetStateSettings {
  /// Name of the document that holds the manifest.
  std::string document = "manifest";
  /// Maximum time for which decisions wait for a peer after a pause.
  Duration recheck_wait = std::chrono::milliseconds(250);
  /// Interval at which members in use are checked, and the time since the last contact after which
  /// a member is pinged. The latter is a third of an epoch, so that the member still accepts the
  /// epoch known to this node.
  Duration ping_check_interval = std::chrono::milliseconds(200);
  Duration ping_after_silence = std::chrono::seconds(20);
  /// A Ping that is not answered within this time counts as a failure of the member.
  Duration ping_timeout = std::chrono::seconds(1);
  /// Number of peers queried after a pause; the first reply is sufficient.
  std::size_t recheck_peers = 3;
  MemberTable::Settings membership;
  SubsetLoadBalancer::Settings routing;
  VersionGossip::Settings gossip;
  DocumentTransfer::Settings transfer;
  ReaderSelection::Settings readers;
  ConfigurationReader::Settings reader;
  StartupGate::Settings startup;
};

/// What a node knows about its peers and the configuration. Connects the objects of the modules
/// membership, routing and configuration and passes envelopes to them. Not thread-safe.
class FleetState : public TimerSubscriber {
 public:
  using Settings = FleetStateSettings;

  /// `self` is the entry of the local node. All references must outlive this object.
  FleetState(Member self,
             DocumentValidator& validator,
             ConfigurationServiceClient& client,
             EnvelopeSender& sender,
             const Clock& clock,
             TimerService& timers,
             RandomSource& random,
             Settings settings = {});

  /// Starts the timers and the startup gate; the configuration reader is started when the gate
  /// opens. The platform's first list should be applied before.
  void Start();

  /// Applies the sender's state and handles the message bodies of these modules: digest, document
  /// request and piece, member update, leave notice, ping and pong. Returns whether the body was
  /// one of them; execution messages are left to the caller.
  bool OnEnvelope(const wire::Envelope& envelope);

  /// Sets the sender, epoch and configuration version of an outgoing envelope; the owner adds the
  /// load.
  void FillEnvelopeHeader(std::uint32_t epoch, wire::Envelope& envelope) const;

  /// Whether new decisions may be made: the startup gate is open and no recheck after a pause is in
  /// progress. Also detects a pause before its timer has fired.
  bool Ready();

  /// Marks this node as leaving and sends a LeaveNotice to all known peers.
  void Leave();

  /// Sets the services in use. Their members are pinged when their incarnation is unknown, when
  /// their back-off has ended, or when the last contact was long ago.
  void SetServicesInUse(std::vector<std::string> services);

  MemberTable& Members() { return this->members; }
  SubsetLoadBalancer& Balancer() { return this->balancer; }
  ThresholdCache& Thresholds() { return this->thresholds; }
  DocumentStore& Documents() { return this->store; }
  const StartupGate& Gate() const { return this->gate; }
  const ConfigurationReader& Reader() const { return this->reader; }
  const ReaderSelection& Readers() const { return this->readers; }

  /// Number of pauses detected so far.
  std::uint64_t Pauses() const { return this->pauses; }

  void OnTimer(TimePoint now) override;

 private:
  struct PingState {
    InstanceId to;
    TimePoint sent_at{};
  };

  void ApplySender(const InstanceId& from, const wire::Envelope& envelope);
  bool HandleBody(const InstanceId& from, const wire::Envelope& envelope);
  void OnPing(const InstanceId& from, const wire::Ping& ping);
  void OnPong(const InstanceId& from, const wire::Pong& pong);
  void OnPause(Duration length);
  bool IsReplyToPing(const wire::Envelope& envelope) const;
  wire::Envelope MakePing(const InstanceId& to, Duration changes_wanted);
  void PingMembersInUse(TimePoint now);
  bool NeedsPing(const Member& member, TimePoint now) const;
  void ApplyUpdate(const wire::MemberUpdate& update);
  void PingClaimedInstance(const wire::Member& claimed_member);
  void ExpirePings(TimePoint now);

  const Settings settings;
  EnvelopeSender& sender;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  MemberTable members;
  ThresholdCache thresholds;
  SubsetLoadBalancer balancer;
  DocumentStore store;
  DocumentTransfer transfer;
  ReaderSelection readers;
  VersionGossip gossip;
  ConfigurationReader reader;
  StartupGate gate;
  PauseDetector pause_detector;
  std::vector<std::string> services_in_use;
  // Unanswered pings by id, and the id of the last ping to each name.
  std::map<std::uint64_t, PingState> pings;
  std::unordered_map<std::string, std::uint64_t> last_ping_by_name;
  std::uint64_t last_ping = 0;
  std::uint64_t pauses = 0;
  // End of the recheck after a pause; decisions wait until then or until a peer has replied.
  TimePoint recheck_until{};
  bool rechecking = false;
  bool recheck_replied = false;
  bool reader_started = false;
};

}  // namespace masticpin
