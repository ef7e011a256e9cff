#pragma once

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>
#include <cstdint>

#include "masticpin/admission/priority.h"
#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"

namespace masticpin {

/// One request that asks for a slot of the upstream. The owner keeps it alive and in place from
/// AdmissionController::Offer() until it is refused, withdrawn or completed; after that it may
/// offer it again.
class AdmissionRequest {
 public:
  enum class State : std::uint8_t {
    /// Unknown to the controller: not offered yet, refused, withdrawn or completed.
    kIdle,
    /// Offered, with no decision yet.
    kWaiting,
    /// Refused; OnRefused() follows before the outermost call of the controller returns.
    kRefusing,
    /// Holds a slot until Complete().
    kAdmitted,
  };

  AdmissionRequest() = default;
  AdmissionRequest(const AdmissionRequest&) = delete;
  AdmissionRequest& operator=(const AdmissionRequest&) = delete;
  virtual ~AdmissionRequest() = default;

  /// The request holds a slot and may be sent to the upstream now. Called at most once for each
  /// Offer(). May call the controller, Complete() for this request included.
  virtual void OnAdmitted() = 0;

  /// The request was not run. `kind` is kOverloaded, kExpiredBeforeStart, kUpstreamUnreachable or
  /// kDraining; `retry_after` is 0 where a delay does not help. Called at most once for each
  /// Offer(). May call the controller and may destroy the request. A request that is offered again
  /// from here without end keeps the outermost call from returning.
  virtual void OnRefused(ErrorKind kind, Duration retry_after) = 0;

  State GetState() const { return this->state; }

  /// Must not change between Offer() and the end of the request.
  Priority priority;
  /// The caller's deadline. Must not change between Offer() and the end of the request.
  TimePoint deadline{};
  /// Longest wait in the queue; 0 for the bound of the controller's settings. Must not change
  /// between Offer() and the end of the request.
  Duration wait_bound{};

 private:
  friend class AdmissionQueue;
  friend class AdmissionController;

  boost::intrusive::set_member_hook<> priority_hook;
  boost::intrusive::set_member_hook<> expiry_hook;
  boost::intrusive::list_member_hook<> refusal_hook;
  /// The request leaves the queue at this time.
  TimePoint expiry{};
  Duration retry_after{};
  ErrorKind refusal = ErrorKind::kOverloaded;
  /// What the request is refused with at `expiry`.
  ErrorKind expiry_kind = ErrorKind::kOverloaded;
  /// Less time was left at the offer than any recent request took.
  bool deadline_too_short = false;
  State state = State::kIdle;
};

}  // namespace masticpin
