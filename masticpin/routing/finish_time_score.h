#pragma once

#include "masticpin/routing/placement_score.h"

namespace masticpin {

/// Compares the expected time until an instance finishes the request, expressed as the utilisation
/// at which an instance of the usual pace needs the same time.
class FinishTimeScore : public PlacementScore {
 public:
  double Score(double utilisation, double pace) const override {
    return pace == 1 ? utilisation : UtilisationFor(pace * TimeAt(utilisation));
  }

 private:
  /// Time at a full instance, compared with that at an idle one. Reports of load are some
  /// milliseconds old, so that each used slot makes a wait more likely; with a factor of 2 the
  /// slots of an instance are used before those of one with half of its speed.
  static constexpr double kTimeWhenFull = 2;
  /// Increase of the time with each further load of a full instance. It is far steeper than the
  /// wait itself, because nodes refuse requests that wait for 0.1 s and a queue loses capacity
  /// while slower instances have free slots.
  static constexpr double kQueueSlope = 8;

  static double TimeAt(double utilisation) {
    return utilisation <= 1 ? 1 + (kTimeWhenFull - 1) * utilisation
                            : kTimeWhenFull + kQueueSlope * (utilisation - 1);
  }
  static double UtilisationFor(double time) {
    return time <= kTimeWhenFull ? (time - 1) / (kTimeWhenFull - 1)
                                 : 1 + (time - kTimeWhenFull) / kQueueSlope;
  }
};

}  // namespace masticpin
