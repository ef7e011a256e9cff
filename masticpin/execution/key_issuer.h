#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/base/instance_id.h"
#include "masticpin/base/random_source.h"
#include "masticpin/execution/action_key.h"
#include "masticpin/execution/epoch_counter.h"

namespace masticpin {

/// Issues and verifies the action keys of one incarnation.
class KeyIssuer {
 public:
  /// `random` supplies the secret of the keyed hash and must not be predictable in production. The
  /// name in `self` must satisfy IsKeyableName().
  KeyIssuer(InstanceId self, const Clock& clock, RandomSource& random);

  /// Issues the first key of a new action.
  ActionKey IssueKey();

  /// Issues the key of an existing action for one generation.
  ActionKey IssueSuccessor(std::uint32_t epoch,
                           std::uint64_t sequence,
                           std::uint8_t generation) const;

  /// Returns nothing if `key` was issued here and is still valid. Otherwise kKeyInvalid (was never
  /// issued, so it never ran) or kOutcomeLost (another process or an expired epoch: may have run).
  std::optional<ErrorKind> Verify(const ActionKey& key) const;

  /// Time for which `key`, issued here, remains valid.
  Duration RemainingLifetime(const ActionKey& key) const;

  const InstanceId& Self() const { return this->self; }
  const EpochCounter& Epochs() const { return this->epochs; }

 private:
  std::uint64_t TagOf(std::uint32_t epoch, std::uint64_t sequence, std::uint8_t generation) const;

  InstanceId self;
  const Clock& clock;
  EpochCounter epochs;
  std::array<unsigned char, 16> secret{};
  std::uint64_t next_sequence = 1;
};

}  // namespace masticpin
