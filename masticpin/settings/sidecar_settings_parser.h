#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem.h"
#include "masticpin/settings/sidecar_settings.h"

namespace masticpin {

/// Settings, or all mistakes that were found in the text.
struct SidecarSettingsParseResult {
  /// Nothing when there are problems.
  std::optional<SidecarSettings> settings;
  /// Ordered by line; empty when the settings are valid.
  std::vector<IniProblem> problems;
};

/// Reads the settings of a sidecar process. Stateless and thread-safe.
class SidecarSettingsParser {
 public:
  /// More than a hundred times a complete settings file.
  static constexpr std::size_t kMaxTextBytes = std::size_t{64} << 10;

  /// Accepts any bytes. `file_name` is only used in the problems.
  static SidecarSettingsParseResult Parse(std::string_view text, std::string_view file_name);

  /// Returns docs/settings-sidecar.md: all keys with default, allowed values and meaning.
  static std::string MarkdownPage();
};

}  // namespace masticpin
