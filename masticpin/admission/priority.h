#pragma once

#include <compare>
#include <cstdint>

namespace masticpin {

/// Priority of a request; requests with a greater value are admitted first.
struct Priority {
  /// Importance of the root action's kind in the manifest: 0 (lowest) to 9 (highest).
  std::uint8_t importance = 0;
  /// Order among requests of equal importance: a hash of the action key, the same at every node.
  std::uint16_t rank = 0;

  bool operator==(const Priority&) const = default;

  std::strong_ordering operator<=>(const Priority& other) const {
    return this->Packed() <=> other.Packed();
  }

  /// Packs both fields into one number with the same order: importance in the upper 16 bits, rank
  /// in the lower 16 bits.
  std::uint32_t Packed() const {
    return (static_cast<std::uint32_t>(this->importance) << 16) | this->rank;
  }
};

/// Highest importance that a manifest may give.
inline constexpr std::uint8_t kMaxImportance = 9;

}  // namespace masticpin
