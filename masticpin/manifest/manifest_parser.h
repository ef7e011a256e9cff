#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/manifest/manifest.h"
#include "masticpin/manifest/manifest_problem.h"

namespace masticpin {

/// A manifest, or all problems that were found in the text.
struct ManifestParseResult {
  /// nullptr if there are problems.
  Ref<const Manifest> manifest;
  /// Ordered by line; empty if the manifest is valid.
  std::vector<ManifestProblem> problems;

  bool Ok() const { return this->manifest != nullptr; }
};

/// Parses and validates manifests. Stateless and thread-safe.
class ManifestParser {
 public:
  /// The configuration service stores values of up to 1 MB, so it cannot deliver a larger text.
  static constexpr std::size_t kMaxTextBytes = std::size_t{1} << 20;

  /// `text` may be arbitrary bytes. `file_name` is only used in problem messages.
  static ManifestParseResult Parse(std::string_view text, std::string_view file_name);

  /// Formats a manifest as text from which Parse() returns an equal manifest.
  static std::string Format(const Manifest& manifest);
};

}  // namespace masticpin
