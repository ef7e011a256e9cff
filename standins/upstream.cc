#include "standins/upstream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticpin::standins {

namespace {

constexpr char kNotRun[] = "not-run";
constexpr char kUnknown[] = "unknown";

UpstreamResponse MakeRefusal(int status, const char* reason) {
  return {status, kNotRun, reason};
}

/// Response to a request that ends before it commits. `committed`: whether an inner call committed.
UpstreamResponse MakeUnfinished(int status, bool committed, const char* reason) {
  return committed ? UpstreamResponse{500, kUnknown, reason} : MakeRefusal(status, reason);
}

}  // namespace

Upstream::Upstream(UpstreamSettings settings,
                   const Clock& clock,
                   RandomSource& random,
                   InnerCaller& inner_caller)
    : settings(std::move(settings)),
      clock(clock),
      random(random),
      inner_caller(inner_caller),
      started(clock.Now()),
      slots(this->settings.slots, this->settings.queue),
      speed_factor(this->settings.speed_factor),
      load(UpstreamLoad(), this->settings.load_lag) {}

UpstreamResponse Upstream::Handle(const UpstreamRequest& request, CallerWatch& caller) {
  const auto found = this->settings.kinds.find(request.kind);
  if (found == this->settings.kinds.end()) {
    return MakeRefusal(404, "no such kind");
  }
  this->runs.CountArrival(request.action, this->settings.service + "/" + request.kind);
  if (this->draining || this->shedding) {
    return MakeRefusal(503, this->draining ? "draining" : "shed");
  }

  const TimePoint deadline = this->clock.Now() + request.time_left;
  const WorkSlots::Result slot =
      this->slots.Acquire(deadline, [&caller] { return caller.WaitForClose(Duration::zero()); });
  switch (slot) {
    case WorkSlots::Result::kShed:
      return MakeRefusal(503, "queue full");
    case WorkSlots::Result::kExpired:
      return MakeRefusal(504, "expired in queue");
    case WorkSlots::Result::kCancelled:
      return MakeRefusal(499, "cancelled in queue");
    case WorkSlots::Result::kAcquired:
      break;
  }
  this->RecordLoad();
  UpstreamResponse response = this->RunInSlot(request, found->second, deadline, caller);
  this->slots.Release();
  this->RecordLoad();
  return response;
}

UpstreamResponse Upstream::RunInSlot(const UpstreamRequest& request,
                                     const UpstreamKind& kind,
                                     TimePoint deadline,
                                     CallerWatch& caller) {
  bool committed = false;
  std::optional<UpstreamResponse> failure =
      this->MakeInnerCalls(request, kind, deadline, caller, committed);
  if (failure) {
    return *std::move(failure);
  }

  // Work that would exceed the deadline stops at the deadline.
  const Duration work = this->ServiceTime(kind);
  const Duration remaining = std::max(Duration::zero(), deadline - this->clock.Now());
  if (caller.WaitForClose(std::min(work, remaining))) {
    return MakeUnfinished(499, committed, "cancelled");
  }
  if (work > remaining) {
    return MakeUnfinished(504, committed, "deadline exceeded");
  }

  const std::string full_kind = this->settings.service + "/" + request.kind;
  const std::string suffix = request.step.empty() ? "" : "#" + request.step;
  this->runs.CountRun(request.action, full_kind + suffix);
  const nlohmann::json body = {
      {"action", request.action},
      {"kind", full_kind},
      {"path", request.path},
      {"commits", !kind.idempotent},
      {"bytes", kind.response_bytes},
      {"data", std::string(kind.response_bytes, 'x')},
      {"instance", this->settings.name},
  };
  // A path may contain bytes that are not UTF-8.
  return {200, "", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

std::optional<UpstreamResponse> Upstream::MakeInnerCalls(const UpstreamRequest& request,
                                                         const UpstreamKind& kind,
                                                         TimePoint deadline,
                                                         CallerWatch& caller,
                                                         bool& committed) {
  std::map<std::string, int> steps;
  for (const std::string& target : kind.calls) {
    const TimePoint now = this->clock.Now();
    if (now >= deadline) {
      return MakeUnfinished(504, committed, "deadline exceeded");
    }
    if (caller.WaitForClose(Duration::zero())) {
      return MakeUnfinished(499, committed, "cancelled");
    }
    // Without a step the node would take a second call to the same kind for a retry of the first.
    const int step = steps[target]++;
    const InnerOutcome outcome =
        this->inner_caller.Call({.target = target,
                                 .action = request.action,
                                 .context = request.context,
                                 .step = step == 0 ? "" : std::to_string(step),
                                 .traceparent = request.traceparent,
                                 .time_left = deadline - now});
    if (outcome == InnerOutcome::kUnknown) {
      return UpstreamResponse{500, kUnknown, "inner call failed: " + target};
    }
    if (outcome == InnerOutcome::kNotRun) {
      return MakeUnfinished(503, committed, "inner call refused");
    }
    committed = committed || outcome == InnerOutcome::kCommitted;
  }
  return std::nullopt;
}

Duration Upstream::ServiceTime(const UpstreamKind& kind) {
  auto time = std::chrono::duration<double, std::nano>(kind.service_time);
  if (kind.jitter > Duration::zero()) {
    const auto spread = static_cast<std::uint64_t>(2 * kind.jitter.count());
    time += Duration(static_cast<Duration::rep>(this->random.NextBelow(spread))) - kind.jitter;
  }

  const double waiting_per_slot =
      static_cast<double>(this->slots.Waiting()) / static_cast<double>(this->settings.slots);
  time *= 1.0 + this->settings.queue_slowdown * waiting_per_slot;

  const Duration age = this->clock.Now() - this->started;
  if (age < this->settings.cold_start) {
    const double remaining = 1.0 - static_cast<double>(age.count()) /
                                       static_cast<double>(this->settings.cold_start.count());
    time *= 1.0 + (this->settings.cold_start_factor - 1.0) * remaining;
  }
  time /= this->speed_factor;
  return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(time));
}

void Upstream::RecordLoad() {
  const UpstreamLoad current_load{this->slots.Busy(), this->slots.Waiting()};
  const std::lock_guard lock(this->load_mutex);
  this->load.Set(this->clock.Now(), current_load);
}

UpstreamLoad Upstream::ReportedLoad() {
  switch (this->settings.load_report) {
    case LoadReportMode::kAlwaysIdle:
      return {};
    case LoadReportMode::kAlwaysBusy:
      return {this->settings.slots, this->settings.queue};
    case LoadReportMode::kActual:
      break;
  }
  const std::lock_guard lock(this->load_mutex);
  return this->load.Get(this->clock.Now());
}

}  // namespace masticpin::standins
