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
  /// Announced its departure, or the platform says so; gets no new requests.
  kLeaving,
};

/// One instance of the deployment as this node knows it. Changed only by MemberTable.
struct Member : RefCounted<Member> {
  /// The incarnation is 0 while the instance is known from the platform's list only. Such a member
  /// must be asked by a Ping before it can be given work.
  InstanceId id;
  std::string service;
  std::string zone;
  /// Address for envelopes.
  std::string peer_endpoint;
  /// Address for callers; empty if the platform's list has not named the instance yet.
  std::string http_address;
  MemberState state = MemberState::kLive;
  /// Whether this is the node's own entry.
  bool self = false;
  /// Whether the member has not answered a Ping since this process was last paused.
  bool unverified = false;
  /// Last epoch of the member's clock that this node has received.
  std::uint32_t epoch = 0;
  /// When this incarnation became known to this node.
  TimePoint first_seen{};
  /// When the last envelope of this incarnation arrived; the epoch of the clock if none has.
  TimePoint last_contact{};
  /// End of the present back-off; meaningful while unreachable.
  TimePoint retry_at{};
  /// Length of the present back-off; zero when the last contact was a success.
  Duration backoff{};

  /// Whether the member itself was heard, so that its incarnation and epoch are known. Work is
  /// addressed to an incarnation and epoch and can only be sent to such a member.
  bool HasContact() const { return this->id.incarnation != 0 && this->last_contact != TimePoint{}; }
};

}  // namespace masticpin
