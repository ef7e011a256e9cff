#pragma once

#include "masticpin/base/clock.h"

namespace masticpin {

/// The monotonic clock of the machine.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace masticpin
