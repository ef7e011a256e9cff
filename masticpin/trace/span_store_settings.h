#pragma once

#include <chrono>
#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Bounds of a SpanStore.
struct SpanStoreSettings {
  /// Ordinary spans that are kept. With the two defaults the store takes less than 1 MB of the
  /// node's 64 MB.
  std::size_t ordinary_capacity = 512;
  /// Refused, failed and slow spans that are kept. They have their own ring, so ordinary traffic
  /// does not overwrite them.
  std::size_t notable_capacity = 512;
  /// A span of at least this length is slow. The shortest deadline of both sites is 1 s.
  Duration slow_threshold = std::chrono::milliseconds(500);
};

}  // namespace masticpin
