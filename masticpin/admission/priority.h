#pragma once

#include <compare>
#include <cstdint>

namespace masticpin {

/// Order in which requests are admitted; the greater one goes first.
struct Priority {
  /// From the manifest's kind of the root action: 0 (least) to 9 (most).
  std::uint8_t importance = 0;
  /// Order within one importance: a hash of the action key, the same at every node.
  std::uint16_t rank = 0;

  bool operator==(const Priority&) const = default;

  std::strong_ordering operator<=>(const Priority& other) const {
    return this->Packed() <=> other.Packed();
  }

  /// Both parts in one number with the same order: importance in the upper 16 bits.
  std::uint32_t Packed() const {
    return (static_cast<std::uint32_t>(this->importance) << 16) | this->rank;
  }
};

/// Highest importance that a manifest may give.
inline constexpr std::uint8_t kMaxImportance = 9;

}  // namespace masticpin
