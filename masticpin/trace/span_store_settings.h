#pragma once

#include <chrono>
#include <cstddef>

#include "masticpin/base/time.h"

namespace masticpin {

/// Settings of a SpanStore.
struct SpanStoreSettings {
  /// Maximum number of ordinary spans. With the default capacities the store takes less than 1 MB
  /// of the node's 64 MB.
  std::size_t ordinary_capacity = 512;
  /// Maximum number of refused, failed and slow spans. They have a separate ring buffer, so
  /// ordinary traffic does not overwrite them.
  std::size_t notable_capacity = 512;
  /// Spans of at least this length count as slow: half of the minimum deadline at both sites, which
  /// is 1 s.
  Duration slow_threshold = std::chrono::milliseconds(500);
};

}  // namespace masticpin
