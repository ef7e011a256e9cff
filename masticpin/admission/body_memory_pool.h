#pragma once

#include <cstddef>
#include <vector>

#include "masticpin/admission/body_memory_pool_settings.h"

namespace masticpin {

class BodyMemory;

/// What several accounts hold together, beside their shares of small bodies. It lets a body exceed
/// the share of its account, for which it then is oversized, while there is room.
class BodyMemoryPool {
 public:
  explicit BodyMemoryPool(const BodyMemoryPoolSettings& settings) : settings(settings) {}
  BodyMemoryPool(const BodyMemoryPool&) = delete;
  BodyMemoryPool& operator=(const BodyMemoryPool&) = delete;

  std::size_t Bytes() const { return this->bytes; }
  std::size_t OversizedBytes() const { return this->oversized_bytes; }

 private:
  friend class BodyMemory;

  const BodyMemoryPoolSettings settings;
  std::vector<BodyMemory*> accounts;
  std::size_t bytes = 0;
  std::size_t oversized_bytes = 0;
};

}  // namespace masticpin
