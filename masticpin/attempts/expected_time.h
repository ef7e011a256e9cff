#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

/// Estimates how long requests of one kind take, from the first dispatch to the result. The
/// estimate follows the load, like the retransmission timeout of TCP.
class ExpectedTime {
 public:
  /// Adds one measured duration. A request that ended at its deadline counts with the time that it
  /// was given, which is a lower bound of the time that it needed.
  void Add(Duration duration) {
    if (this->mean == Duration::zero()) {
      this->mean = duration;
      this->deviation = duration / 2;
      return;
    }
    // Weights of 1/8 and 1/4, as in RFC 6298.
    const Duration error = duration - this->mean;
    this->mean += error / 8;
    this->deviation += (std::chrono::abs(error) - this->deviation) / 4;
  }

  /// Time within which nearly all requests end; 0 before the first measurement.
  Duration Estimate() const { return this->mean + 2 * this->deviation; }

 private:
  Duration mean{};
  Duration deviation{};
};

}  // namespace masticpin
