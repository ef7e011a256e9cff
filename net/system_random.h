#pragma once

#include "masticpin/base/random_source.h"

namespace masticpin {

/// Random numbers from the system's cryptographic generator. Thread-safe.
class SystemRandom : public RandomSource {
 public:
  SystemRandom();

  std::uint64_t Next() override;
};

}  // namespace masticpin
