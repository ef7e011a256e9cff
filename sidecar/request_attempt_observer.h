#pragma once

#include <string_view>

#include "masticpin/error/error_kind.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

class RequestAttempt;

/// Receives the result of a RequestAttempt: one call of OnAttemptReply() or OnAttemptLost(), which
/// may destroy the attempt. OnAttemptStalled() may come before.
class RequestAttemptObserver {
 public:
  virtual ~RequestAttemptObserver() = default;

  virtual void OnAttemptReply(RequestAttempt& attempt, wire::ExecutionReply reply) = 0;
  virtual void OnAttemptLost(RequestAttempt& attempt, ErrorKind kind, std::string_view reason) = 0;

  /// See ExecutionObserver::OnExecutionStalled().
  virtual void OnAttemptStalled(RequestAttempt& attempt) = 0;
};

}  // namespace masticpin
