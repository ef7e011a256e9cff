#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem.h"
#include "masticpin/settings/node_settings.h"

namespace masticpin {

/// One mistake in a settings file.
using SettingsProblem = IniProblem;

/// Settings, or all mistakes that were found in the text.
struct SettingsParseResult {
  /// Nothing when there are problems.
  std::optional<NodeSettings> settings;
  /// Ordered by line; empty when the settings are valid.
  std::vector<SettingsProblem> problems;

  bool Ok() const { return this->settings.has_value(); }
};

/// Reads the settings of a node. Stateless and thread-safe.
class SettingsParser {
 public:
  /// More than a hundred times a complete settings file.
  static constexpr std::size_t kMaxTextBytes = std::size_t{64} << 10;

  /// Accepts any bytes. `file_name` is only used in the problems.
  static SettingsParseResult Parse(std::string_view text, std::string_view file_name);

  /// Returns docs/settings.md: all keys with default, allowed values and meaning.
  static std::string MarkdownPage();
};

}  // namespace masticpin
