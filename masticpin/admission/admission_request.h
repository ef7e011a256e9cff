#pragma once

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>
#include <cstdint>

#include "masticpin/admission/priority.h"
#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"

namespace masticpin {

/// A request that needs a slot of the upstream. The owner keeps the object alive, at the same
/// address, from AdmissionController::Offer() until it is refused, withdrawn or completed. It may
/// be offered again afterwards.
class AdmissionRequest {
 public:
  enum class State : std::uint8_t {
    /// Unknown to the controller: not offered yet, refused, withdrawn or completed.
    kIdle,
    /// Offered, with no decision yet.
    kWaiting,
    /// Refused; OnRefused() is called before the outermost call of the controller returns.
    kRefusing,
    /// Holds a slot until AdmissionController::Complete().
    kAdmitted,
  };

  AdmissionRequest() = default;
  AdmissionRequest(const AdmissionRequest&) = delete;
  AdmissionRequest& operator=(const AdmissionRequest&) = delete;
  virtual ~AdmissionRequest() = default;

  /// Called when the request has a slot and may be sent to the upstream; at most once for each
  /// Offer(). May call the controller, including Complete() for this request.
  virtual void OnAdmitted() = 0;

  /// Called when the request is refused; it was not run. `kind` is kOverloaded,
  /// kExpiredBeforeStart, kUpstreamUnreachable or kDraining; `retry_after` is 0 where a delay does
  /// not help. Called at most once for each Offer(). May call the controller and may destroy the
  /// request. If every refusal offers the request again from here, the outermost call does not
  /// return.
  virtual void OnRefused(ErrorKind kind, Duration retry_after) = 0;

  State GetState() const { return this->state; }

  /// Must not change between Offer() and the end of the request.
  Priority priority;
  /// The caller's deadline. Must not change between Offer() and the end of the request.
  TimePoint deadline{};
  /// Maximum wait in the queue; 0 for the maximum of the controller's settings. Must not change
  /// between Offer() and the end of the request.
  Duration wait_bound{};

 private:
  friend class AdmissionQueue;
  friend class AdmissionController;

  boost::intrusive::set_member_hook<> priority_hook;
  boost::intrusive::set_member_hook<> expiry_hook;
  boost::intrusive::list_member_hook<> refusal_hook;
  /// Time at which the request is refused if it is still in the queue.
  TimePoint expiry{};
  Duration retry_after{};
  ErrorKind refusal = ErrorKind::kOverloaded;
  /// Error with which the request is refused at `expiry`.
  ErrorKind expiry_kind = ErrorKind::kOverloaded;
  /// Less time was left at Offer() than the shortest recent service time.
  bool deadline_too_short = false;
  State state = State::kIdle;
};

}  // namespace masticpin
