#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace masticpin {

/// Hash of a client account's key. Configurations and messages between nodes contain it instead of
/// the key.
class KeyHash {
 public:
  static constexpr std::size_t kBytes = 32;

  static KeyHash Of(std::string_view key);

  /// Returns the hash with these bytes, or std::nullopt if their number is not `kBytes`.
  static std::optional<KeyHash> FromBytes(std::string_view bytes);

  std::string_view Bytes() const {
    return {reinterpret_cast<const char*>(this->bytes.data()), this->bytes.size()};
  }

  /// Takes the same time for all hashes, so that its duration reveals nothing about a key.
  bool operator==(const KeyHash& other) const;

 private:
  KeyHash() = default;

  std::array<unsigned char, kBytes> bytes{};
};

/// Hash function for containers.
struct KeyHashHasher {
  std::size_t operator()(const KeyHash& hash) const;
};

}  // namespace masticpin
