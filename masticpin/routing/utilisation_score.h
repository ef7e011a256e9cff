#pragma once

#include "masticpin/routing/placement_score.h"

namespace masticpin {

/// Compares only the utilisation, whatever the speed of the instances.
class UtilisationScore : public PlacementScore {
 public:
  double Score(double utilisation, double /*pace*/) const override { return utilisation; }
};

}  // namespace masticpin
