#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticpin {

/// Identifies one run of the node process that serves one upstream instance.
struct InstanceId {
  /// Name of the instance; unique in the deployment.
  std::string name;
  /// Random number drawn when the process starts; 0 when it is not yet known.
  std::uint64_t incarnation = 0;

  auto operator<=>(const InstanceId&) const = default;
};

}  // namespace masticpin
