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
  /// Number of the action, unique within the incarnation. A successor keeps it.
  std::uint64_t sequence = 0;
  /// 0 for the first key of an action, one more for each successor.
  std::uint8_t generation = 0;
  /// Keyed hash over all other fields; only the home can compute it.
  std::uint64_t tag = 0;

  bool operator==(const ActionKey&) const = default;

  /// Text for headers and paths: "<instance name>.<39 characters of base64url>".
  std::string ToText() const;

  /// Error: kKeyInvalid.
  static Result<ActionKey> Parse(std::string_view text);

  /// Order of the action within its importance, equal for all keys of one action.
  std::uint16_t Rank() const;
};

/// Whether `name` can be an instance name in a key: 1 to 64 of the characters A-Z a-z 0-9 . _ ~ -
bool IsKeyableName(std::string_view name);

}  // namespace masticpin
