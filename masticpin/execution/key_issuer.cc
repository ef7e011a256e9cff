#include "masticpin/execution/key_issuer.h"

#include <sodium.h>

#include <algorithm>
#include <cassert>
#include <cstring>
#include <utility>

namespace masticpin {

static_assert(crypto_shorthash_KEYBYTES == 16 && crypto_shorthash_BYTES == 8);

KeyIssuer::KeyIssuer(InstanceId self, const Clock& clock, RandomSource& random)
    : self(std::move(self)), clock(clock), epochs(clock) {
  assert(IsKeyableName(this->self.name));
  const std::array<std::uint64_t, 2> words = {random.Next(), random.Next()};
  std::memcpy(this->secret.data(), words.data(), this->secret.size());
}

ActionKey KeyIssuer::IssueKey() {
  return this->IssueSuccessor(this->epochs.Current(), this->next_sequence++, 0);
}

ActionKey KeyIssuer::IssueSuccessor(std::uint32_t epoch,
                                    std::uint64_t sequence,
                                    std::uint8_t generation) const {
  ActionKey key;
  key.home = this->self;
  key.epoch = epoch;
  key.sequence = sequence;
  key.generation = generation;
  key.tag = this->TagOf(epoch, sequence, generation);
  return key;
}

std::optional<ErrorKind> KeyIssuer::Verify(const ActionKey& key) const {
  // Only the process that issued a key knows whether its action ran.
  if (key.home != this->self) {
    return ErrorKind::kOutcomeLost;
  }
  if (key.tag != this->TagOf(key.epoch, key.sequence, key.generation)) {
    return ErrorKind::kKeyInvalid;
  }
  if (!this->epochs.Accepts(key.epoch)) {
    return ErrorKind::kOutcomeLost;
  }
  return std::nullopt;
}

Duration KeyIssuer::RemainingLifetime(const ActionKey& key) const {
  return std::max<Duration>(this->epochs.StartOf(key.epoch + 2) - this->clock.Now(),
                            Duration::zero());
}

std::uint64_t KeyIssuer::TagOf(std::uint32_t epoch,
                               std::uint64_t sequence,
                               std::uint8_t generation) const {
  // The name and the incarnation are constant for this secret and need not be hashed.
  const std::array<std::uint64_t, 3> fields = {epoch, sequence, generation};
  std::uint64_t tag = 0;
  crypto_shorthash(reinterpret_cast<unsigned char*>(&tag),
                   reinterpret_cast<const unsigned char*>(fields.data()), sizeof(fields),
                   this->secret.data());
  return tag;
}

}  // namespace masticpin
