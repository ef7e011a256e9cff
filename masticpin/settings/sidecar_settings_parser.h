#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem.h"
#include "masticpin/settings/sidecar_settings.h"

namespace masticpin {

/// Settings, or all problems that were found in the text.
struct SidecarSettingsParseResult {
  /// nullopt if there are problems.
  std::optional<SidecarSettings> settings;
  /// Ordered by line; empty if the settings are valid.
  std::vector<IniProblem> problems;
};

/// Parses and validates the settings of a sidecar process. Stateless and thread-safe.
class SidecarSettingsParser {
 public:
  /// Larger files are rejected. A complete settings file has less than a hundredth of this size.
  static constexpr std::size_t kMaxTextBytes = std::size_t{64} << 10;

  /// `text` may be arbitrary bytes. `file_name` is only used in problem messages.
  static SidecarSettingsParseResult Parse(std::string_view text, std::string_view file_name);

  /// Returns the content of docs/settings-sidecar.md: all keys with their default, allowed values
  /// and meaning.
  static std::string MarkdownPage();
};

}  // namespace masticpin
