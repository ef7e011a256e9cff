#include "masticpin/error/error_info.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace masticpin {
namespace {

constexpr Outcome kNotRun = Outcome::kNotRun;
constexpr Outcome kUnknown = Outcome::kUnknown;
constexpr CallerRetry kNever = CallerRetry::kNever;
constexpr CallerRetry kAtOnce = CallerRetry::kAtOnce;
constexpr CallerRetry kAfterDelay = CallerRetry::kAfterDelay;
constexpr CallerRetry kIfIdempotent = CallerRetry::kIfIdempotent;

using K = ErrorKind;

// Ordered by kind, so that a kind is looked up by its index.
constexpr std::array<ErrorInfo, kLastErrorKind> kErrorTable = {{
    {K::kMalformedRequest, "malformed_request", "The request is not valid.", 400, kNotRun, kNever,
     false},
    {K::kNotFound, "not_found", "No service or request kind of this name is configured.", 404,
     kNotRun, kNever, false},
    {K::kBodyTooLarge, "body_too_large", "The body is larger than the limit.", 413, kNotRun, kNever,
     false},
    {K::kKeyRequired, "key_required", "Send the request again with the Idempotency-Key given.", 428,
     kNotRun, kAtOnce, false},
    {K::kKeyClosed, "key_closed", "The key was closed after a refusal; use the fresh key given.",
     409, kNotRun, kAtOnce, false},
    {K::kKeyInvalid, "key_invalid", "The Idempotency-Key was not issued by this deployment.", 400,
     kNotRun, kAtOnce, false},
    {K::kAlreadyComplete, "already_complete",
     "The action is complete; its answer is no longer stored.", 409, Outcome::kComplete, kNever,
     false},
    {K::kOverloaded, "overloaded", "The service is overloaded.", 503, kNotRun, kAfterDelay, true},
    {K::kDraining, "draining", "The instance is shutting down.", 503, kNotRun, kAtOnce, true},
    {K::kLedgerFull, "ledger_full", "The node holds as many actions as it can.", 503, kNotRun,
     kAfterDelay, true},
    {K::kNoInstance, "no_instance", "No instance of the service is available.", 503, kNotRun,
     kAfterDelay, false},
    {K::kNoConfiguration, "no_configuration", "The node has no configuration yet.", 503, kNotRun,
     kAfterDelay, true},
    {K::kAttemptsExhausted, "attempts_exhausted", "The action has used all its attempts.", 429,
     kNotRun, kNever, false},
    {K::kExpiredBeforeStart, "expired_before_start", "The deadline passed before the request ran.",
     504, kNotRun, kNever, false},
    {K::kUpstreamShed, "upstream_shed", "The upstream refused the request.", 503, kNotRun,
     kAfterDelay, true},
    {K::kUpstreamUnreachable, "upstream_unreachable", "The upstream accepts no connection.", 503,
     kNotRun, kAfterDelay, true},
    {K::kCancelledBeforeStart, "cancelled_before_start", "The caller left before the request ran.",
     499, kNotRun, kNever, false},
    {K::kWrongIncarnation, "wrong_incarnation", "The instance was restarted meanwhile.", 503,
     kNotRun, kAtOnce, true},
    {K::kOutcomeLost, "outcome_lost", "The node that held the outcome of this key is gone.", 409,
     kUnknown, kNever, false},
    {K::kUpstreamBroken, "upstream_broken", "The upstream's answer was cut or not valid.", 502,
     kUnknown, kIfIdempotent, true},
    {K::kDeadlineExceeded, "deadline_exceeded", "The deadline passed while the request ran.", 504,
     kUnknown, kIfIdempotent, false},
    {K::kPeerLost, "peer_lost", "The node that ran the request did not answer.", 504, kUnknown,
     kIfIdempotent, true},
    {K::kCancelled, "cancelled", "The request was cancelled while it ran.", 499, kUnknown, kNever,
     false},
    {K::kInternal, "internal", "The node failed.", 500, kUnknown, kIfIdempotent, false},
    {K::kInnerCallRefused, "inner_call_refused", "A service that the request needs refused it.",
     503, kNotRun, kAfterDelay, false},
    {K::kUnauthenticated, "unauthenticated", "The request has no valid key of a client account.",
     401, kNotRun, kNever, false},
    {K::kAllotmentExceeded, "allotment_exceeded", "The client account has used its allotment.", 429,
     kNotRun, kAfterDelay, false},
}};

}  // namespace

const ErrorInfo& GetErrorInfo(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind) - 1;
  assert(index < kErrorTable.size());
  return kErrorTable[index];
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace masticpin
