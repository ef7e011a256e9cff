#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/configuration/document_store.h"
#include "masticpin/configuration/document_transfer.h"
#include "masticpin/configuration/reader_selection.h"
#include "masticpin/membership/member_table.h"
#include "masticpin/wire/envelope_sender.h"

namespace masticpin {

struct VersionGossipSettings {
  /// Interval between digests, and the number of peers that each digest is sent to.
  Duration period = std::chrono::milliseconds(500);
  std::size_t fanout = 3;
  /// Time for which a member change is forwarded: four rounds, to twelve peers. This reaches all
  /// nodes with a probability above 0.99999, because each receiver forwards the change as well.
  Duration change_ttl = std::chrono::seconds(2);
  /// Maximum number of member changes in one message: 16 changes of about 100 bytes in 6 messages
  /// per second take 10 KB/s while the whole fleet restarts.
  std::size_t max_changes = 16;
};

/// Compares document versions with random peers and fetches higher ones. Also forwards member
/// changes. Not thread-safe.
class VersionGossip : public TimerSubscriber, public DocumentListener {
 public:
  using Settings = VersionGossipSettings;

  VersionGossip(DocumentStore& store,
                DocumentTransfer& transfer,
                ReaderSelection& readers,
                MemberTable& members,
                EnvelopeSender& sender,
                const Clock& clock,
                TimerService& timers,
                RandomSource& random,
                Settings settings = {});

  /// Starts to send periodic digests.
  void Start();

  /// Called when a peer has sent its digest.
  void OnDigest(const InstanceId& from, const wire::VersionDigest& digest);

  /// Called when an envelope of any kind carried a version of the document `name`.
  void OnVersionSeen(const InstanceId& from, const std::string& name, std::uint64_t version);

  /// Sends this node's digest to one peer.
  void SendDigest(const InstanceId& to, bool reply_wanted);

  /// Announces a new version to random peers immediately.
  void OnDocument(const Document& document) override;

  void OnTimer(TimePoint now) override;

  /// Number of digest entries with the current version of this node but different content.
  std::uint64_t Conflicts() const { return this->conflicts; }

 private:
  void Compare(const InstanceId& from, const wire::VersionDigest& digest);
  wire::Envelope MakeDigest(bool reply_wanted, bool answer) const;

  DocumentStore& store;
  DocumentTransfer& transfer;
  ReaderSelection& readers;
  MemberTable& members;
  EnvelopeSender& sender;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  const Settings settings;
  std::uint64_t conflicts = 0;
};

}  // namespace masticpin
