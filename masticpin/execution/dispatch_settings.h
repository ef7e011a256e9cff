#pragma once

#include <cstdint>

namespace masticpin {

/// Bounds of a HomeDispatcher.
struct DispatchSettings {
  // Further instances that one request tries after the first: one sibling, so that a refusal costs
  // at most one more hop and an overloaded service gets at most two messages for each request.
  std::uint32_t max_retries = 1;
};

}  // namespace masticpin
