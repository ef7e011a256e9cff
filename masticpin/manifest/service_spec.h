#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticpin {

/// The manifest's rules for one service. The figures hold for each instance.
struct ServiceSpec {
  std::string name;
  /// Ceiling of the concurrency limit.
  std::uint32_t slots = 0;
  /// Bound on the callers' connections to one node.
  std::uint32_t connections = 0;
  /// HTTP status with which the upstream refuses a request before doing any work, if it has one.
  std::optional<int> shed_status;
};

}  // namespace masticpin
