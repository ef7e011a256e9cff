#pragma once

#include <cstddef>

namespace masticpin {

/// Bounds of a BodyMemory, in bytes of bodies. Small bodies are copied while they are passed on, so
/// the sum of the bounds must be a fraction of the memory of the process.
struct BodyMemorySettings {
  /// A body up to this size is small.
  std::size_t max_small_body_bytes = std::size_t{64} << 10;
  /// Total size of the small bodies. Large bodies cannot use this share.
  std::size_t small_share_bytes = std::size_t{8} << 20;
  /// Total size of the large bodies, and of the small ones that exceed their own share.
  std::size_t large_share_bytes = std::size_t{32} << 20;
};

}  // namespace masticpin
