#pragma once

namespace masticpin {

/// Scores the instances among which a node chooses; lower is better. For an instance of the usual
/// pace, the score is its utilisation.
class PlacementScore {
 public:
  virtual ~PlacementScore() = default;

  /// `utilisation` is 1 if all slots are in use, above 1 if requests are queued. `pace` is the work
  /// time compared with the usual one.
  virtual double Score(double utilisation, double pace) const = 0;
};

}  // namespace masticpin
