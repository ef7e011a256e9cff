#pragma once

#include <cstdint>
#include <string>

namespace masticpin {

/// The operator's settings of one service.
struct ServiceSettings {
  std::string name;
  /// Path at which an instance reports its health.
  std::string health_path;
  /// Maximum number of connections that one instance accepts from all callers together.
  std::uint32_t max_connections = 1;
};

}  // namespace masticpin
