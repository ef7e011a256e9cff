#pragma once

#include <cassert>
#include <cstdint>

#include "masticpin/attempts/attempt_grant.h"

namespace masticpin {

/// The attempts that one holder may still cause: the home node of an action, or an executor that
/// received a grant. Attempts are only moved between holders, never created: held + outstanding +
/// spent always equals the initial number.
class AttemptBudget {
 public:
  explicit AttemptBudget(std::uint32_t initial) : initial(initial), held(initial) {}

  /// Attempts that can be spent or granted; 0 after Close().
  std::uint32_t Held() const { return this->closed ? 0 : this->held; }

  /// Attempts that were used, or that were granted and not returned.
  std::uint32_t Spent() const { return this->initial - this->held; }

  /// Uses `count` attempts. Returns false, and changes nothing, if fewer are held.
  bool Spend(std::uint32_t count);

  /// Moves `count` attempts into a grant. Returns an empty grant if fewer are held.
  AttemptGrant Take(std::uint32_t count);

  /// Returns the unused attempts of `grant` to the budget. `used` is clamped to the size of the
  /// grant, because it comes from another process. If a reply is lost, the caller returns the grant
  /// with all attempts used.
  void Return(AttemptGrant& grant, std::uint32_t used);

  /// Closes the budget: all attempts that are still granted count as spent, later returns have no
  /// effect, and no further attempt can be spent or granted. Returns Spent().
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
