#include "masticpin/routing/key_hash.h"

#include <sodium.h>

#include <cstring>

namespace masticpin {

KeyHash KeyHash::Of(std::string_view key) {
  KeyHash hash;
  crypto_generichash(hash.bytes.data(), hash.bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
  return hash;
}

std::optional<KeyHash> KeyHash::FromBytes(std::string_view bytes) {
  if (bytes.size() != kBytes) {
    return std::nullopt;
  }
  KeyHash hash;
  std::memcpy(hash.bytes.data(), bytes.data(), kBytes);
  return hash;
}

bool KeyHash::operator==(const KeyHash& other) const {
  return sodium_memcmp(this->bytes.data(), other.bytes.data(), kBytes) == 0;
}

std::size_t KeyHashHasher::operator()(const KeyHash& hash) const {
  std::size_t value = 0;
  std::memcpy(&value, hash.Bytes().data(), sizeof(value));
  return value;
}

}  // namespace masticpin
