#pragma once

#include <cstdint>

namespace masticpin {

/// Source of random numbers for decisions. Tests pass a seeded one.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;

  /// Returns a uniformly distributed number in [0, bound). `bound` must not be 0.
  std::uint64_t NextBelow(std::uint64_t bound) {
    // The multiplication maps the 64 bits to the range without a division. The bias is at most
    // bound / 2^64: below 2^-28 for a bound of one minute in nanoseconds.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(this->Next()) * bound) >> 64);
  }
};

}  // namespace masticpin
