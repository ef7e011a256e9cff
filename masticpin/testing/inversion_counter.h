#pragma once

#include <array>
#include <cstdint>

#include "masticpin/admission/priority.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// Counts importance inversions: a refusal and an admission of a less important request within less
/// than 100 ms of each other.
class InversionCounter {
 public:
  void OnAdmitted(TimePoint now, std::uint8_t importance) {
    this->admitted[importance] = now;
    for (int higher = importance + 1; higher <= kMaxImportance; ++higher) {
      this->count += now - this->refused[higher] < kWindow ? 1 : 0;
    }
  }

  void OnRefused(TimePoint now, std::uint8_t importance) {
    this->refused[importance] = now;
    for (int lower = 0; lower < importance; ++lower) {
      this->count += now - this->admitted[lower] < kWindow ? 1 : 0;
    }
  }

  std::uint64_t Count() const { return this->count; }

 private:
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  /// The fake clock starts at 1 s, so the initial value 0 is outside the window.
  std::array<TimePoint, kMaxImportance + 1> admitted{};
  std::array<TimePoint, kMaxImportance + 1> refused{};
  std::uint64_t count = 0;
};

}  // namespace masticpin
