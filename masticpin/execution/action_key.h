#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "masticpin/base/instance_id.h"
#include "masticpin/error/result.h"

namespace masticpin {

/// Key of one root action. It names the home process, the only one that may start the action.
struct ActionKey {
  /// Process that issued the key.
  InstanceId home;
  /// Epoch of the home in which the key was issued.
  std::uint32_t epoch = 0;
  /// Sequence number of the action, unique within the incarnation. Successor keys keep it.
  std::uint64_t sequence = 0;
  /// 0 for the first key of an action; incremented for each successor key.
  std::uint8_t generation = 0;
  /// Keyed hash over all other fields; only the home can compute it.
  std::uint64_t tag = 0;

  bool operator==(const ActionKey&) const = default;

  /// Returns the text form for headers and paths: "<instance name>.<39 characters of base64url>".
  std::string ToText() const;

  /// Parses the text form. Error: kKeyInvalid.
  static Result<ActionKey> Parse(std::string_view text);

  /// Rank of the action within its importance; the same for all keys of one action.
  std::uint16_t Rank() const;
};

/// Whether `name` can be used as the instance name in a key: 1 to 64 characters out of A-Z a-z 0-9
/// . _ ~ -
bool IsKeyableName(std::string_view name);

}  // namespace masticpin
