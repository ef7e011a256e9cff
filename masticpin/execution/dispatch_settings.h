#pragma once

#include <cstdint>

namespace masticpin {

/// Limits of a HomeDispatcher.
struct DispatchSettings {
  // Maximum number of other instances that one request tries after the first. With one, a refusal
  // costs at most one more hop, and an overloaded service receives at most two messages for each
  // request.
  std::uint32_t max_retries = 1;
};

}  // namespace masticpin
