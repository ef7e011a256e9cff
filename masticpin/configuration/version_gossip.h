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
  /// Time between two digests, and the number of peers that get each.
  Duration period = std::chrono::milliseconds(500);
  std::size_t fanout = 3;
  /// Member changes are passed on for four rounds, to twelve peers, which reaches all nodes with a
  /// probability above 0.99999 because each receiver passes them on as well.
  Duration change_ttl = std::chrono::seconds(2);
  /// Bounds the member changes of one message: 16 of about 100 bytes in 6 messages/s are 10 KB/s
  /// while the whole fleet restarts.
  std::size_t max_changes = 16;
};

/// Compares versions with random peers and fetches higher ones. Also passes member changes on.
/// Not thread-safe.
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

  /// Starts the periodic digests.
  void Start();

  /// A peer sent its digest.
  void OnDigest(const InstanceId& from, const wire::VersionDigest& digest);

  /// An envelope of any kind carried the version of the document `name`.
  void OnVersionSeen(const InstanceId& from, const std::string& name, std::uint64_t version);

  /// Sends the own digest to one peer.
  void SendDigest(const InstanceId& to, bool reply_wanted);

  /// Pushes a new version to random peers at once.
  void OnDocument(const Document& document) override;

  void OnTimer(TimePoint now) override;

  /// Digests that named a version in force here with another content.
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
