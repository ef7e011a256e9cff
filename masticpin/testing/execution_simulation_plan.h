#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "masticpin/error/error_kind.h"

namespace masticpin {

/// How a simulation decides where, and how often, an action runs.
enum class ExecutionMode {
  // The home node of the key decides, as in masticpin.
  kLedger,
  // Retries a request at any node on timeout; executors run every request that arrives.
  kNaiveRetry,
  // The owner of a key is chosen by the hash of the key among the members that a node can reach.
  // Each owner runs the action of a key at most once.
  kOwnerByHash,
};

struct ExecutionSimulationPlan {
  std::uint64_t seed = 0;
  ExecutionMode mode = ExecutionMode::kLedger;
  int actions = 5'000;
  // Without `all_faults` only partitions occur.
  bool all_faults = true;
  std::size_t capacity = 131'072;
};

/// What a caller sends.
struct SimulatedRequest {
  int action = 0;
  bool idempotent = false;
  // Empty to request a key.
  std::string key;
};

/// What a caller receives.
struct SimulatedResponse {
  std::string key;
  std::optional<ErrorKind> error;
  std::string body;
  std::string next_key;
};

}  // namespace masticpin
