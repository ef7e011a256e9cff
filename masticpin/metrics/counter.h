#pragma once

#include <atomic>
#include <cstdint>

namespace masticpin {

/// A number that only increases. Thread-safe.
class Counter {
 public:
  void Increment(std::uint64_t by = 1) { this->value.fetch_add(by, std::memory_order_relaxed); }

  std::uint64_t Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value = 0;
};

}  // namespace masticpin
