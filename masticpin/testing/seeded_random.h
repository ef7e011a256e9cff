#pragma once

#include <random>

#include "masticpin/base/random_source.h"

namespace masticpin {

/// Reproducible random numbers from a seed.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine(seed) {}

  std::uint64_t Next() override { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

}  // namespace masticpin
