#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticpin {

/// A point in the history of the registry. When the registry returns from an older copy, its era
/// rises by one, and the revision numbers after that of the copy are assigned again. Revisions are
/// therefore ordered by era first. The default value precedes all revisions and means "none".
struct RegistryRevision {
  /// 0 if the registry does not state its era.
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  std::strong_ordering operator<=>(const RegistryRevision& other) const {
    return this->era != other.era ? this->era <=> other.era : this->number <=> other.number;
  }
  bool operator==(const RegistryRevision&) const = default;

  bool IsNone() const { return *this == RegistryRevision{}; }

  /// Text for logs: era and number, separated by a dot.
  std::string ToString() const {
    return std::to_string(this->era) + "." + std::to_string(this->number);
  }
};

}  // namespace masticpin
