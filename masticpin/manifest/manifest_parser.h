#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/manifest/manifest.h"
#include "masticpin/manifest/manifest_problem.h"

namespace masticpin {

/// A manifest, or all mistakes that were found in the text.
struct ManifestParseResult {
  /// nullptr when there are problems.
  Ref<const Manifest> manifest;
  /// Ordered by line; empty when the manifest is valid.
  std::vector<ManifestProblem> problems;

  bool Ok() const { return this->manifest != nullptr; }
};

/// Reads and validates manifests. Stateless and thread-safe.
class ManifestParser {
 public:
  /// The platform holds values of up to 1 MB; a larger text cannot come from it.
  static constexpr std::size_t kMaxTextBytes = std::size_t{1} << 20;

  /// Accepts any bytes. `file_name` is only used in the problems.
  static ManifestParseResult Parse(std::string_view text, std::string_view file_name);

  /// Writes a manifest as text that Parse() reads back to an equal manifest.
  static std::string Format(const Manifest& manifest);
};

}  // namespace masticpin
