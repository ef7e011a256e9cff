#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticpin {

/// The manifest's rules for one service. All values apply to each instance.
struct ServiceSpec {
  std::string name;
  /// Maximum value of the concurrency limit.
  std::uint32_t slots = 0;
  /// Maximum number of connections that callers may open to one node.
  std::uint32_t connections = 0;
  /// HTTP status with which the upstream sheds a request before doing any work, if it has one.
  std::optional<int> shed_status;
};

}  // namespace masticpin
