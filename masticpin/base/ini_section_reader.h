#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_document.h"
#include "masticpin/base/ini_problem_list.h"

namespace masticpin {

/// Whether a key must be present.
enum class IniPresence : std::uint8_t { kRequired, kOptional };

/// Takes checked values out of one section and reports what is wrong with them. Every method
/// returns nothing when the key is missing or its value is not allowed.
class IniSectionReader {
 public:
  /// `section` and `problems` must outlive the reader.
  IniSectionReader(const IniSection& section, IniProblemList& problems)
      : section(&section), problems(&problems) {}

  /// A whole number from `min` to `max`.
  std::optional<std::uint64_t> TakeNumber(std::string_view key,
                                          std::uint64_t min,
                                          std::uint64_t max,
                                          IniPresence presence = IniPresence::kRequired);

  /// One of two words: true for `if_true`, false for `if_false`.
  std::optional<bool> TakeChoice(std::string_view key,
                                 std::string_view if_true,
                                 std::string_view if_false);

  /// A name of lower-case letters, digits and hyphens (see IsValidName()).
  std::optional<std::string> TakeName(std::string_view key);

  /// The entry as it is written; nullptr when it is missing.
  const IniEntry* TakeEntry(std::string_view key, IniPresence presence);

  /// Reports a problem at an entry of the section.
  void Report(const IniEntry& entry, std::string message);

  /// Reports the keys that were not asked for.
  void ReportUnknownKeys();

 private:
  const IniSection* section;
  IniProblemList* problems;
  std::vector<std::string_view> known_keys;
};

/// Longest name of a site, service or kind in bytes: the length of a DNS label.
inline constexpr std::size_t kMaxNameLength = 63;

/// Returns true for 1 to kMaxNameLength characters of a-z, 0-9 and "-".
bool IsValidName(std::string_view name);

/// Says which names IsValidName() accepts, for messages.
inline constexpr std::string_view kAllowedNames = "1 to 63 characters of a-z, 0-9 and \"-\"";

/// Returns `value` in quotes for a message; a long value is cut.
std::string QuoteValue(std::string_view value);

}  // namespace masticpin
