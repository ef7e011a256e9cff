#pragma once

#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

/// Adds up the time in which at least one inner call of a request was outstanding.
class InnerCallTime {
 public:
  void OnStarted(TimePoint now) {
    if (this->outstanding++ == 0) {
      this->since = now;
    }
  }

  /// Ends of calls that were not started here are ignored: a call may end after the request that
  /// made it was replaced by a repeat of the same id.
  void OnEnded(TimePoint now) {
    if (this->outstanding > 0 && --this->outstanding == 0) {
      this->total += now - this->since;
    }
  }

  /// The time until `now`, including calls that are still outstanding.
  Duration Total(TimePoint now) const {
    return this->outstanding > 0 ? this->total + (now - this->since) : this->total;
  }

 private:
  std::uint32_t outstanding = 0;
  TimePoint since{};
  Duration total{};
};

}  // namespace masticpin
