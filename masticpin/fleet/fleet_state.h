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
  /// Longest wait for a peer after a pause, before decisions are made again.
  Duration recheck_wait = std::chrono::milliseconds(250);
  /// How often members in use are checked for a Ping, and the silence after which one is sent. The
  /// silence is a third of an epoch, so that the known epoch of a member stays acceptable to it.
  Duration ping_check_interval = std::chrono::milliseconds(200);
  Duration ping_after_silence = std::chrono::seconds(20);
  /// A Ping without an answer for this long counts as a failure of the member.
  Duration ping_timeout = std::chrono::seconds(1);
  /// Peers asked after a pause; the first answer counts.
  std::size_t recheck_peers = 3;
  MemberTable::Settings membership;
  SubsetLoadBalancer::Settings routing;
  VersionGossip::Settings gossip;
  DocumentTransfer::Settings transfer;
  ReaderSelection::Settings readers;
  ConfigurationReader::Settings reader;
  StartupGate::Settings startup;
};

/// Everything a node knows about the other nodes and the configuration: wires the objects of the
/// modules membership, routing and configuration together and passes envelopes to them.
/// Not thread-safe.
class FleetState : public TimerSubscriber {
 public:
  using Settings = FleetStateSettings;

  /// `self` is the node's own entry. All references must outlive this object.
  FleetState(Member self,
             DocumentValidator& validator,
             ConfigurationServiceClient& client,
             EnvelopeSender& sender,
             const Clock& clock,
             TimerService& timers,
             RandomSource& random,
             Settings settings = {});

  /// Starts timers and the startup gate; the reader follows when the gate opens. The first list of
  /// the platform should have been applied.
  void Start();

  /// Takes over the sender's state and handles the bodies of these modules: digest, document
  /// request and piece, member update, leave notice, ping and pong. Returns whether the body was
  /// one of them; execution messages are left to the caller.
  bool OnEnvelope(const wire::Envelope& envelope);

  /// Fills sender, epoch and configuration version of an outgoing envelope; the owner adds the
  /// load.
  void FillEnvelopeHeader(std::uint32_t epoch, wire::Envelope& envelope) const;

  /// Whether new decisions may be made: the startup gate is open and no re-check after a pause is
  /// under way. Also notices a pause whose timer has not fired yet.
  bool Ready();

  /// Marks this node as leaving and sends a LeaveNotice to all known peers.
  void Leave();

  /// Pings members of the services in use that have an unknown incarnation, an ended back-off or
  /// a long silence.
  void SetServicesInUse(std::vector<std::string> services);

  MemberTable& Members() { return this->members; }
  SubsetLoadBalancer& Balancer() { return this->balancer; }
  ThresholdCache& Thresholds() { return this->thresholds; }
  DocumentStore& Documents() { return this->store; }
  const StartupGate& Gate() const { return this->gate; }
  const ConfigurationReader& Reader() const { return this->reader; }
  const ReaderSelection& Readers() const { return this->readers; }

  /// Pauses noticed so far.
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
  bool IsAnswerToPing(const wire::Envelope& envelope) const;
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
  // Unanswered pings by their number, and the number of the last one for each name.
  std::map<std::uint64_t, PingState> pings;
  std::unordered_map<std::string, std::uint64_t> last_ping_by_name;
  std::uint64_t last_ping = 0;
  std::uint64_t pauses = 0;
  // End of the re-check after a pause; decisions wait until then or until a peer answered.
  TimePoint recheck_until{};
  bool rechecking = false;
  bool recheck_answered = false;
  bool reader_started = false;
};

}  // namespace masticpin
