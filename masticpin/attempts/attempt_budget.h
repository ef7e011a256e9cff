#pragma once

#include <cassert>
#include <cstdint>

#include "masticpin/attempts/attempt_grant.h"

namespace masticpin {

/// Attempts that one holder may still cause. Attempts are only split between holders, never
/// created: held + outstanding + spent always equals the initial number.
class AttemptBudget {
 public:
  explicit AttemptBudget(std::uint32_t initial) : initial(initial), held(initial) {}

  /// Attempts that can be spent or granted; 0 after Close().
  std::uint32_t Held() const { return this->closed ? 0 : this->held; }

  /// Attempts that were used, or that were granted and never accounted for.
  std::uint32_t Spent() const { return this->initial - this->held; }

  /// Uses `count` attempts. Returns false, and changes nothing, if fewer are held.
  bool Spend(std::uint32_t count);

  /// Moves `count` attempts into a grant. Returns an empty grant if fewer are held.
  AttemptGrant Take(std::uint32_t count);

  /// Takes back the unused part of `grant`. `used` is clamped to the grant, because it comes from
  /// another process. A lost reply is a return with everything used.
  void Return(AttemptGrant& grant, std::uint32_t used);

  /// Ends the budget: everything that is still granted counts as spent, later returns change
  /// nothing, and no further attempt is given out. Returns Spent().
  std::uint32_t Close();

 private:
  void CheckConservation() const {
    assert(this->held + this->outstanding + this->spent == this->initial);
  }

  std::uint32_t initial;
  std::uint32_t held;
  std::uint32_t outstanding = 0;
  std::uint32_t spent = 0;
  bool closed = false;
};

}  // namespace masticpin
