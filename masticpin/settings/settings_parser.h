#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem.h"
#include "masticpin/settings/node_settings.h"

namespace masticpin {

/// One problem in a settings file.
using SettingsProblem = IniProblem;

/// Settings, or all problems that were found in the text.
struct SettingsParseResult {
  /// nullopt if there are problems.
  std::optional<NodeSettings> settings;
  /// Ordered by line; empty if the settings are valid.
  std::vector<SettingsProblem> problems;

  bool Ok() const { return this->settings.has_value(); }
};

/// Parses and validates the settings of a node. Stateless and thread-safe.
class SettingsParser {
 public:
  /// Larger files are rejected. A complete settings file has less than a hundredth of this size.
  static constexpr std::size_t kMaxTextBytes = std::size_t{64} << 10;

  /// `text` may be arbitrary bytes. `file_name` is only used in problem messages.
  static SettingsParseResult Parse(std::string_view text, std::string_view file_name);

  /// Returns the content of docs/settings.md: all keys with their default, allowed values and
  /// meaning.
  static std::string MarkdownPage();
};

}  // namespace masticpin
