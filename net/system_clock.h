#pragma once

#include "masticpin/base/clock.h"

namespace masticpin {

/// The monotonic system clock.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace masticpin
