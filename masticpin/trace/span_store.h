#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/trace/span.h"
#include "masticpin/trace/span_store_settings.h"

namespace masticpin {

/// Keeps the most recent spans in a fixed amount of memory. Thread-safe.
class SpanStore {
 public:
  explicit SpanStore(const SpanStoreSettings& settings);

  /// Records a finished span. When the capacity is reached, overwrites the oldest span of the same
  /// class (notable or ordinary). Does not allocate.
  void Add(const Span& span);

  /// Returns copies of all spans, ordered by wall-clock start time.
  std::vector<Span> Snapshot() const;

  /// Returns the spans as one OTLP/JSON trace export request. `service` and `instance` identify
  /// this process. If `filter` is not empty, returns only the spans that have it as their trace id
  /// (hexadecimal) or as the value of an attribute.
  std::string ExportOtlpJson(std::string_view service,
                             std::string_view instance,
                             std::string_view filter = {}) const;

  /// Number of spans that were overwritten, or dropped because the capacity is 0.
  std::uint64_t Overwritten() const;

 private:
  // Ring buffer that fills up to its capacity, which is allocated in advance, and then overwrites
  // its oldest entry.
  struct Ring {
    std::vector<Span> spans;
    std::size_t next = 0;
    std::size_t capacity = 0;
  };

  bool IsNotable(const Span& span) const;

  const Duration slow_threshold;
  mutable std::mutex mutex;
  Ring ordinary;
  Ring notable;
  std::uint64_t overwritten = 0;
};

}  // namespace masticpin
