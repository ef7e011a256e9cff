#pragma once

#include "masticpin/membership/member.h"

namespace masticpin {

/// Receives the changes of a member table. Must not change the table from within a callback.
class MemberObserver {
 public:
  virtual ~MemberObserver() = default;

  virtual void OnMemberAdded(const Member& member) = 0;

  /// Called when the state, the addresses or the incarnation changed. `previous_incarnation`
  /// differs from the current one when another process has the name now.
  virtual void OnMemberChanged(const Member& member, std::uint64_t previous_incarnation) = 0;

  /// Called when the member is no longer in the table; the reference is valid during the call.
  virtual void OnMemberRemoved(const Member& member) = 0;
};

}  // namespace masticpin
