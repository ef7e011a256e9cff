#include "net/system_clock.h"

namespace masticpin {

TimePoint SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

}  // namespace masticpin
