#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/instance_id.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"

namespace masticpin {

enum class MemberState : std::uint8_t {
  kLive,
  /// Failed to answer or refused a connection; skipped until `retry_at`.
  kUnreachable,
  /// Announced its departure, or is leaving according to the platform; gets no new requests.
  kLeaving,
};

/// One instance of the deployment as this node knows it. Changed only by MemberTable.
struct Member : RefCounted<Member> {
  /// The incarnation is 0 while the instance is known from the platform's list only. Such a member
  /// must answer a Ping before requests can be sent to it.
  InstanceId id;
  std::string service;
  std::string zone;
  /// Address for envelopes.
  std::string peer_endpoint;
  /// Address for callers; empty until the platform's list contains the instance.
  std::string http_address;
  MemberState state = MemberState::kLive;
  /// Whether this is the entry of the local node.
  bool self = false;
  /// Whether the member has not answered a Ping since this process was last paused.
  bool unverified = false;
  /// Newest epoch of the member that this node has received.
  std::uint32_t epoch = 0;
  /// When this incarnation became known to this node.
  TimePoint first_seen{};
  /// When the last envelope of this incarnation arrived; TimePoint{} if none has.
  TimePoint last_contact{};
  /// End of the current back-off; only meaningful while unreachable.
  TimePoint retry_at{};
  /// Length of the current back-off; zero after a successful contact.
  Duration backoff{};

  /// Whether a message of the member itself has arrived, so that its incarnation and epoch are
  /// known. Requests are addressed to an incarnation and epoch and can only be sent to such a
  /// member.
  bool HasContact() const { return this->id.incarnation != 0 && this->last_contact != TimePoint{}; }
};

}  // namespace masticpin
