#pragma once

#include <cstdint>
#include <string>

namespace masticpin {

/// What the operator says about one service.
struct ServiceSettings {
  std::string name;
  /// Path at which an instance reports its own health.
  std::string health_path;
  /// Connections that one instance accepts from all callers together.
  std::uint32_t max_connections = 1;
};

}  // namespace masticpin
