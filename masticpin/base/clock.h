#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

/// Source of the current monotonic time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Never returns an earlier time than a previous call did.
  virtual TimePoint Now() const = 0;
};

}  // namespace masticpin
