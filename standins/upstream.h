#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "standins/caller_watch.h"
#include "standins/inner_caller.h"
#include "standins/lagging_value.h"
#include "standins/run_counter.h"
#include "standins/upstream_settings.h"
#include "standins/work_slots.h"

namespace masticpin::standins {

/// A request as the upstream receives it.
struct UpstreamRequest {
  std::string path;
  /// Kind without the service name.
  std::string kind;
  std::string action;
  std::string context;
  std::string step;
  std::string traceparent;
  Duration time_left = std::chrono::seconds(30);
};

/// Response of the upstream. `outcome` is "not-run" or "unknown", or empty for a complete response.
struct UpstreamResponse {
  int status = 200;
  std::string outcome;
  std::string body;
};

/// The load that the load endpoint reports.
struct UpstreamLoad {
  std::size_t busy = 0;
  std::size_t waiting = 0;
};

/// Simulates one instance of a service. A request waits for a slot, makes its inner calls, works
/// for the service time and then commits its run. If it ends before the commit, it is reported as
/// "not run" only if no inner call committed anything. Thread-safe.
class Upstream {
 public:
  /// All references must outlive the object; `random` must be thread-safe.
  Upstream(UpstreamSettings settings,
           const Clock& clock,
           RandomSource& random,
           InnerCaller& inner_caller);

  UpstreamResponse Handle(const UpstreamRequest& request, CallerWatch& caller);

  /// Service times are divided by `factor`, which must be greater than 0.
  void SetSpeedFactor(double factor) { this->speed_factor = factor; }
  /// While set, new requests are refused as draining.
  void SetDraining(bool value) { this->draining = value; }
  /// While set, new requests are shed.
  void SetShedding(bool value) { this->shedding = value; }

  const RunCounter& Runs() const { return this->runs; }
  const UpstreamSettings& Settings() const { return this->settings; }
  /// Returns the load to report, which is delayed or wrong if the settings say so.
  UpstreamLoad ReportedLoad();

 private:
  /// Makes the inner calls. Returns the response of the request if it ends here, because an inner
  /// call failed, the deadline passed or the caller disconnected. Sets `committed` if a call
  /// committed.
  std::optional<UpstreamResponse> MakeInnerCalls(const UpstreamRequest& request,
                                                 const UpstreamKind& kind,
                                                 TimePoint deadline,
                                                 CallerWatch& caller,
                                                 bool& committed);
  UpstreamResponse RunInSlot(const UpstreamRequest& request,
                             const UpstreamKind& kind,
                             TimePoint deadline,
                             CallerWatch& caller);
  Duration ServiceTime(const UpstreamKind& kind);
  void RecordLoad();

  const UpstreamSettings settings;
  const Clock& clock;
  RandomSource& random;
  InnerCaller& inner_caller;
  const TimePoint started;
  WorkSlots slots;
  RunCounter runs;
  std::atomic<double> speed_factor;
  std::atomic<bool> draining = false;
  std::atomic<bool> shedding = false;
  std::mutex load_mutex;
  LaggingValue<UpstreamLoad> load;
};

}  // namespace masticpin::standins
