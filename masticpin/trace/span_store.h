#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/trace/span.h"
#include "masticpin/trace/span_store_settings.h"

namespace masticpin {

/// Keeps the latest spans in a fixed amount of memory. Thread-safe.
class SpanStore {
 public:
  explicit SpanStore(const SpanStoreSettings& settings);

  /// Records a finished span. Overwrites the oldest one of the same class (notable or ordinary)
  /// when there is no room. Does not allocate.
  void Add(const Span& span);

  /// Returns copies of all spans, ordered by wall-clock start.
  std::vector<Span> Snapshot() const;

  /// Returns the spans as one OTLP/JSON trace export request. The names describe this process.
  /// Unless `filter` is empty, only spans with this trace id (hexadecimal) or with an attribute of
  /// this value are returned.
  std::string ExportOtlpJson(std::string_view service,
                             std::string_view instance,
                             std::string_view filter = {}) const;

  /// Number of spans that were overwritten.
  std::uint64_t Overwritten() const;

 private:
  // A ring that grows to its capacity, which is reserved, and then overwrites its oldest entry.
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
