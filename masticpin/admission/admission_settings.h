#pragma once

#include <cstddef>
#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Settings of a ConcurrencyLimiter.
struct LimiterSettings {
  /// Average latency above this multiple of the reference latency lowers the limit.
  double max_latency_ratio = 2.0;
  /// Factor by which one decrease multiplies the limit.
  double decrease_factor = 0.9;
  /// Number of latencies in one average (a round), but at least two and at most five times the
  /// limit. The average of 100 exponentially distributed service times has a standard deviation of
  /// 10%, far below the increase that counts as congestion.
  std::uint32_t round_samples = 100;
  /// Age at which the reference latency is measured again. If the latency has risen since, this is
  /// done at half the limit.
  Duration reference_window = std::chrono::seconds(10);
  /// Share of the ceiling at which the limit starts. A quarter suits an upstream whose capacity is
  /// only configured; 1 suits one that publishes its number of slots.
  double initial_share = 0.25;
  /// Whether high response times lower the limit. Must be false if response times include calls to
  /// other services: one slow service would lower the limits of all services that call it. A
  /// request shed by the upstream lowers the limit in any case.
  bool use_latency = true;
};

/// Settings of an AdmissionController.
struct AdmissionSettings {
  /// Slots of the upstream according to the manifest; at least 1. The limit never exceeds it.
  std::uint32_t ceiling = 1;
  /// Maximum wait in the queue. Values below `hold_down` count as `hold_down`: otherwise an
  /// important request could be refused too soon after a less important one was admitted.
  Duration queue_wait_bound = std::chrono::milliseconds(100);
  /// Time after a refusal in which no less important request is admitted.
  Duration hold_down = std::chrono::milliseconds(100);
  /// Maximum number of waiting requests; at least 1. A queue that cannot hold the arrivals of
  /// `hold_down` can evict an important request too soon after a less important one was admitted.
  /// The default holds 100 ms of arrivals at ten times the capacity of 220 slots with a service
  /// time of 3.4 ms. Waiting requests belong to their owners; the queue allocates no memory for
  /// them.
  std::size_t queue_capacity = 65536;
  /// Consecutive connection failures after which the upstream counts as unreachable. One or two
  /// also occur when an upstream restarts a worker.
  std::uint32_t unreachable_failure_count = 3;
  /// Minimum time between two probes of an unreachable upstream.
  Duration unreachable_probe_interval = std::chrono::milliseconds(50);
  /// Retry-after of a refusal while the load is just above the capacity.
  Duration retry_after_base = std::chrono::milliseconds(100);
  /// Maximum retry-after, before jitter is added.
  Duration retry_after_bound = std::chrono::seconds(5);
  LimiterSettings limiter;
};

}  // namespace masticpin
