#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"

namespace masticpin {

/// Count and sum of durations. Thread-safe.
struct DurationSum {
  void Record(Duration duration) {
    ++this->count;
    this->sum_ns += static_cast<std::uint64_t>(duration.count());
  }

  std::atomic<std::uint64_t> count = 0;
  std::atomic<std::uint64_t> sum_ns = 0;
};

/// What a node counts about its own work. Thread-safe.
struct NodeMetrics {
  /// One count for each result; index 0 is a complete response, the others are error kinds.
  using ByResult = std::array<std::atomic<std::uint64_t>, kLastErrorKind + 1>;

  void CountCaller(std::optional<ErrorKind> error) {
    ++this->callers[error.has_value() ? static_cast<std::size_t>(*error) : 0];
  }
  void CountExecution(std::uint32_t error) {
    ++this->executions[error == 0 ? 0 : static_cast<std::size_t>(ErrorKindFromWire(error))];
  }

  /// Responses to callers and to the own upstream.
  ByResult callers{};
  /// Replies to home nodes.
  ByResult executions{};
  /// From the arrival of a caller's request to its response.
  DurationSum caller_time;
  /// From the arrival of an execution to its admission.
  DurationSum wait;
  /// Time at the upstream.
  DurationSum service_time;
  std::atomic<std::uint64_t> attempts = 0;
  std::atomic<std::uint64_t> dropped_replies = 0;
  std::atomic<std::uint64_t> malformed_messages = 0;
  std::atomic<std::uint64_t> send_failures = 0;
};

}  // namespace masticpin
