#include "masticpin/execution/action_key.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

namespace masticpin {
namespace {

// Incarnation (8 bytes), epoch (4), sequence (8), generation (1) and tag (8).
constexpr std::size_t kBinaryBytes = 29;
constexpr std::size_t kEncodedChars = 39;
// Limits the memory used for a name, which may have been chosen by a caller.
constexpr std::size_t kMaxNameChars = 64;

constexpr int kBase64 = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

template <typename T>
unsigned char* Put(unsigned char* out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out[i] = static_cast<unsigned char>(value >> (8 * (sizeof(T) - 1 - i)));
  }
  return out + sizeof(T);
}

template <typename T>
const unsigned char* Get(const unsigned char* in, T& value) {
  value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>((static_cast<std::uint64_t>(value) << 8) | in[i]);
  }
  return in + sizeof(T);
}

}  // namespace

std::string ActionKey::ToText() const {
  std::array<unsigned char, kBinaryBytes> binary{};
  unsigned char* out = Put(binary.data(), this->home.incarnation);
  out = Put(out, this->epoch);
  out = Put(out, this->sequence);
  out = Put(out, this->generation);
  out = Put(out, this->tag);
  assert(out == binary.data() + kBinaryBytes);

  std::array<char, kEncodedChars + 1> encoded{};
  sodium_bin2base64(encoded.data(), encoded.size(), binary.data(), binary.size(), kBase64);
  return this->home.name + "." + encoded.data();
}

Result<ActionKey> ActionKey::Parse(std::string_view text) {
  // The encoded part has a fixed length, so a name may contain dots.
  if (text.size() < kEncodedChars + 2 || text[text.size() - kEncodedChars - 1] != '.') {
    return MakeError(ErrorKind::kKeyInvalid);
  }
  const std::string_view name = text.substr(0, text.size() - kEncodedChars - 1);
  const std::string_view encoded = text.substr(text.size() - kEncodedChars);
  if (!IsKeyableName(name)) {
    return MakeError(ErrorKind::kKeyInvalid);
  }

  std::array<unsigned char, kBinaryBytes> binary{};
  std::size_t length = 0;
  const char* end = nullptr;
  if (sodium_base642bin(binary.data(), binary.size(), encoded.data(), encoded.size(), nullptr,
                        &length, &end, kBase64) != 0 ||
      length != kBinaryBytes || end != encoded.data() + encoded.size()) {
    return MakeError(ErrorKind::kKeyInvalid);
  }

  ActionKey key;
  key.home.name = name;
  const unsigned char* in = Get(binary.data(), key.home.incarnation);
  in = Get(in, key.epoch);
  in = Get(in, key.sequence);
  in = Get(in, key.generation);
  Get(in, key.tag);
  return key;
}

std::uint16_t ActionKey::Rank() const {
  // Epoch and generation differ between the keys of one action and are therefore not hashed.
  const std::array<std::uint64_t, 2> fields = {this->home.incarnation, this->sequence};
  return static_cast<std::uint16_t>(XXH3_64bits(fields.data(), sizeof(fields)));
}

bool IsKeyableName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '~' || c == '-';
  };
  return !name.empty() && name.size() <= kMaxNameChars &&
         std::all_of(name.begin(), name.end(), allowed);
}

}  // namespace masticpin
