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

/// Reads and validates the values of one section and reports missing keys and invalid values. The
/// Take methods also record which keys are known, for ReportUnknownKeys(). TakeNumber(),
/// TakeChoice() and TakeName() return nullopt when the key is missing or its value is invalid.
class IniSectionReader {
 public:
  /// `section` and `problems` must outlive the reader.
  IniSectionReader(const IniSection& section, IniProblemList& problems)
      : section(&section), problems(&problems) {}

  /// Reads a whole number from `min` to `max`.
  std::optional<std::uint64_t> TakeNumber(std::string_view key,
                                          std::uint64_t min,
                                          std::uint64_t max,
                                          IniPresence presence = IniPresence::kRequired);

  /// Reads one of two words: returns true for `if_true` and false for `if_false`.
  std::optional<bool> TakeChoice(std::string_view key,
                                 std::string_view if_true,
                                 std::string_view if_false);

  /// Reads a name of lower-case letters, digits and hyphens (see IsValidName()).
  std::optional<std::string> TakeName(std::string_view key);

  /// Returns the entry without validating its value; nullptr when it is missing.
  const IniEntry* TakeEntry(std::string_view key, IniPresence presence);

  /// Reports a problem with an entry of the section.
  void Report(const IniEntry& entry, std::string message);

  /// Reports every key of the section that no Take method was called for.
  void ReportUnknownKeys();

 private:
  const IniSection* section;
  IniProblemList* problems;
  std::vector<std::string_view> known_keys;
};

/// Maximum length of a name (see IsValidName()) in bytes: that of a DNS label.
inline constexpr std::size_t kMaxNameLength = 63;

/// Returns true for 1 to kMaxNameLength characters of a-z, 0-9 and "-".
bool IsValidName(std::string_view name);

/// Describes the names that IsValidName() accepts, for messages.
inline constexpr std::string_view kAllowedNames = "1 to 63 characters of a-z, 0-9 and \"-\"";

/// Returns `value` in quotes for a message; long values are truncated.
std::string QuoteValue(std::string_view value);

}  // namespace masticpin
