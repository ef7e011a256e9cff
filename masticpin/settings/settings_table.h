#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_document.h"
#include "masticpin/base/ini_section_reader.h"
#include "masticpin/base/socket_address.h"

namespace masticpin {

/// One key of a settings file whose values are stored in `Settings`. The parser and the reference
/// page for operators use the same table of keys.
template <typename Settings>
struct SettingsKey {
  /// Stores a value; returns false if it is not allowed.
  using ApplyFunction = bool (*)(Settings&, std::string_view);

  std::string_view section;
  std::string_view name;
  /// nullopt if the key is required.
  std::optional<std::string_view> default_value;
  /// Completes the sentence "must be ...".
  std::string_view allowed;
  std::string_view doc;
  ApplyFunction apply = nullptr;
  /// Whether the value is secret and must not appear in messages.
  bool secret = false;
};

template <typename Settings>
using SettingsKeys = std::span<const SettingsKey<Settings>>;

inline constexpr std::string_view kAllowedAddresses =
    "an IP address and a port such as 192.0.2.1:8080 or [2001:db8::1]:8080, without host names, "
    "0.0.0.0, :: and port 0";

template <typename Settings, std::string Settings::*kMember>
bool ApplyName(Settings& settings, std::string_view value) {
  settings.*kMember = value;
  return IsValidName(value);
}

template <typename Settings, SocketAddress Settings::*kMember>
bool ApplyAddress(Settings& settings, std::string_view value) {
  const std::optional<SocketAddress> address = SocketAddress::Parse(value);
  settings.*kMember = address.value_or(SocketAddress());
  return address.has_value();
}

inline constexpr std::string_view kAllowedLogLevels =
    "trace, debug, info, warning, error, critical or off";

template <typename Settings>
bool ApplyLogLevel(Settings& settings, std::string_view value) {
  constexpr std::array<std::string_view, 7> kLevels = {"trace", "debug",    "info", "warning",
                                                       "error", "critical", "off"};
  settings.log_level = value;
  return std::find(kLevels.begin(), kLevels.end(), value) != kLevels.end();
}

/// Returns the section names of `keys`, in order.
template <typename Settings>
std::vector<std::string_view> SectionsOf(SettingsKeys<Settings> keys) {
  std::vector<std::string_view> sections;
  for (const SettingsKey<Settings>& key : keys) {
    if (sections.empty() || sections.back() != key.section) {
      sections.push_back(key.section);
    }
  }
  return sections;
}

/// Stores the values of one section in `settings` and reports problems with them.
template <typename Settings>
void ReadSettingsSection(const IniSection& section,
                         SettingsKeys<Settings> keys,
                         IniProblemList& problems,
                         Settings& settings) {
  IniSectionReader reader(section, problems);
  for (const SettingsKey<Settings>& key : keys) {
    if (key.section != section.name) {
      continue;
    }
    const IniEntry* entry = reader.TakeEntry(
        key.name, key.default_value ? IniPresence::kOptional : IniPresence::kRequired);
    if (entry == nullptr) {
      key.apply(settings, key.default_value.value_or(""));
    } else if (!key.apply(settings, entry->value)) {
      reader.Report(*entry, "must be " + std::string(key.allowed) +
                                (key.secret ? "" : ", not " + QuoteValue(entry->value)));
    }
  }
  reader.ReportUnknownKeys();
}

/// Stores all values of a document in `settings` and reports its problems: unknown sections and
/// keys, missing keys and invalid values.
template <typename Settings>
void ReadSettings(const IniDocument& document,
                  SettingsKeys<Settings> keys,
                  IniProblemList& problems,
                  Settings& settings) {
  const std::vector<std::string_view> names = SectionsOf<Settings>(keys);
  std::string allowed;
  for (const std::string_view name : names) {
    allowed.append(allowed.empty() ? "[" : ", [").append(name).append("]");
  }
  for (const IniSection& section : document.sections) {
    if (std::find(names.begin(), names.end(), section.name) == names.end()) {
      problems.Add(section.line, section.name, "", "unknown section; allowed sections: " + allowed);
    }
  }
  for (const std::string_view name : names) {
    const auto found =
        std::find_if(document.sections.begin(), document.sections.end(),
                     [&](const IniSection& section) { return section.name == name; });
    // A missing section is treated as an empty one: its optional keys get their defaults.
    const IniSection empty{std::string(name), 0, {}};
    ReadSettingsSection<Settings>(found == document.sections.end() ? empty : *found, keys, problems,
                                  settings);
  }
}

/// Returns a Markdown page with `introduction` and a table of the keys of each section.
template <typename Settings>
std::string FormatSettingsPage(std::string_view introduction, SettingsKeys<Settings> keys) {
  std::string page(introduction);
  std::string_view section;
  for (const SettingsKey<Settings>& key : keys) {
    if (key.section != section) {
      section = key.section;
      page.append("\n## [").append(section).append(
          "]\n\n| Key | Default | Allowed | Meaning |\n|---|---|---|---|\n");
    }
    std::string default_value = "required";
    if (key.default_value) {
      default_value = key.default_value->empty() ? "empty" : std::string(*key.default_value);
    }
    page.append("| `").append(key.name).append("` | ").append(default_value);
    page.append(" | ").append(key.allowed).append(" | ").append(key.doc).append(" |\n");
  }
  return page;
}

}  // namespace masticpin
