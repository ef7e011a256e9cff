#pragma once

#include <atomic>
#include <cstdint>

namespace masticpin {

/// A number that can increase and decrease. Thread-safe.
class Gauge {
 public:
  void Set(std::int64_t to) { this->value.store(to, std::memory_order_relaxed); }

  /// `by` may be negative.
  void Add(std::int64_t by) { this->value.fetch_add(by, std::memory_order_relaxed); }

  std::int64_t Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value = 0;
};

}  // namespace masticpin
