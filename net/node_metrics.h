#pragma once

#include <array>
#include <optional>
#include <string>

#include "masticpin/error/error_kind.h"
#include "masticpin/metrics/metrics_registry.h"

namespace masticpin {

/// The metrics of one node. Thread-safe.
class NodeMetrics {
 public:
  NodeMetrics();

  /// Counts a response to a caller or to the local upstream.
  void CountCallerResponse(std::optional<ErrorKind> error) {
    this->caller_responses[error.has_value() ? static_cast<std::size_t>(*error) : 0]->Increment();
  }

  /// Counts a reply to a home node; `error` is 0 for a complete response.
  void CountExecution(std::uint32_t error) {
    this->executions[error == 0 ? 0 : static_cast<std::size_t>(ErrorKindFromWire(error))]
        ->Increment();
  }

  /// All metrics in the Prometheus text format.
  std::string WriteText() const { return this->registry.WriteText(); }

 private:
  /// Index 0 counts complete responses; the other indexes are error kinds.
  using CountersByResult = std::array<Counter*, kLastErrorKind + 1>;

  CountersByResult MakeCountersByResult(const char* name, const char* help);

  MetricsRegistry registry;
  CountersByResult caller_responses;
  CountersByResult executions;

 public:
  /// From the arrival of a caller's request to its response.
  LatencyHistogram& caller_time;
  /// From the arrival of an execution to its admission.
  LatencyHistogram& admission_wait;
  /// Time that the upstream spent on one execution, without its inner calls.
  LatencyHistogram& service_time;
  Counter& attempts;
  Counter& dropped_replies;
  Counter& malformed_messages;
  Counter& send_failures;
  Gauge& limit;
  Gauge& in_flight;
  Gauge& queued;
  Gauge& configuration_version;
  Gauge& members;
};

}  // namespace masticpin
