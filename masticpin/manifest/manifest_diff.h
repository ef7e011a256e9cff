#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/manifest/manifest.h"

namespace masticpin {

/// Effect of a change on callers.
enum class ChangeEffect : std::uint8_t {
  /// Allows fewer requests or attempts, or less time.
  kStricter,
  /// Allows more requests, attempts or time.
  kLooser,
  /// Neither stricter nor looser, for example a new version.
  kNeutral,
};

/// One difference between two manifests.
struct ManifestChange {
  ChangeEffect effect = ChangeEffect::kNeutral;
  /// "manifest", "service NAME" or "kind SERVICE/NAME", as in the section headings.
  std::string section;
  /// The key that differs; empty when the whole section was added or removed.
  std::string key;
  /// Value in the old manifest; empty if it is not set there.
  std::string before;
  /// Value in the new manifest; empty if it is not set there.
  std::string after;
};

/// Compares manifests.
class ManifestDiff {
 public:
  /// Returns the changes from `before` to `after`, ordered by section: manifest, services, kinds.
  static std::vector<ManifestChange> Compare(const Manifest& before, const Manifest& after);
};

/// Returns "stricter", "looser" or "neutral".
std::string_view ChangeEffectName(ChangeEffect effect);

}  // namespace masticpin
