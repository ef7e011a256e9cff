#pragma once

#include <cstddef>

namespace masticpin {

/// Bounds of a BodyMemoryPool, in bytes of bodies.
struct BodyMemoryPoolSettings {
  /// Total size of the large and the oversized bodies of all accounts.
  std::size_t max_bytes = std::size_t{128} << 20;
  /// Total size of the oversized ones. The difference is always left to large bodies.
  std::size_t max_oversized_bytes = std::size_t{112} << 20;
};

}  // namespace masticpin
