#pragma once

#include <cassert>
#include <cstdint>
#include <utility>

namespace masticpin {

/// Attempts that were taken out of one budget for one dispatch. It is moved, never copied, so that
/// no attempt can be returned twice.
class AttemptGrant {
 public:
  AttemptGrant() = default;
  AttemptGrant(AttemptGrant&& other) noexcept : count(std::exchange(other.count, 0)) {}
  AttemptGrant& operator=(AttemptGrant&& other) noexcept {
    // An unreturned grant must not be overwritten: its attempts would stay outstanding forever.
    assert(this->count == 0 || this == &other);
    this->count = std::exchange(other.count, 0);
    return *this;
  }

  /// Number of attempts; 0 if there is no grant.
  std::uint32_t Count() const { return this->count; }

 private:
  friend class AttemptBudget;

  std::uint32_t count = 0;
};

}  // namespace masticpin
