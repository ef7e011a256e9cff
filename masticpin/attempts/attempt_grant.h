#pragma once

#include <cassert>
#include <cstdint>
#include <utility>

namespace masticpin {

/// Attempts taken from one budget for one dispatch. A grant can be moved but not copied, so that no
/// attempt can be returned twice.
class AttemptGrant {
 public:
  AttemptGrant() = default;
  AttemptGrant(AttemptGrant&& other) noexcept : count(std::exchange(other.count, 0)) {}
  AttemptGrant& operator=(AttemptGrant&& other) noexcept {
    // A grant that was not returned must not be overwritten: its attempts would stay outstanding
    // forever.
    assert(this->count == 0 || this == &other);
    this->count = std::exchange(other.count, 0);
    return *this;
  }

  /// Number of attempts; 0 if the grant is empty.
  std::uint32_t Count() const { return this->count; }

 private:
  friend class AttemptBudget;

  std::uint32_t count = 0;
};

}  // namespace masticpin
