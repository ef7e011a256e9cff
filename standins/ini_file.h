#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// One section of an INI file. The getters return `fallback` if the key is absent or its value
/// cannot be parsed; GetBool() returns false for every value other than "yes".
class IniSection {
 public:
  explicit IniSection(std::string name) : name(std::move(name)) {}

  const std::string& Name() const { return this->name; }
  void Add(std::string key, std::string value);

  std::string Get(std::string_view key, std::string_view fallback = "") const;
  long GetInt(std::string_view key, long fallback) const;
  double GetDouble(std::string_view key, double fallback) const;
  bool GetBool(std::string_view key, bool fallback) const;
  /// The value is a number of milliseconds.
  Duration GetMilliseconds(std::string_view key, Duration fallback) const;
  /// The value is a comma-separated list.
  std::vector<std::string> GetList(std::string_view key) const;

 private:
  const std::string* Find(std::string_view key) const;

  std::string name;
  std::vector<std::pair<std::string, std::string>> entries;
};

/// The sections of an INI file in their order in the file.
class IniFile {
 public:
  /// Returns nothing if the file cannot be read or has a syntax error, which is logged.
  static std::optional<IniFile> Load(const std::string& path);
  /// Returns nothing if `text` has a syntax error, which is logged.
  static std::optional<IniFile> Parse(const std::string& text);

  /// Returns the first section with this name, or an empty section if there is none.
  const IniSection& Section(std::string_view name) const;
  /// Returns all sections whose name has the form "<type> <rest>", each with its <rest>.
  std::vector<std::pair<std::string, const IniSection*>> SectionsOfType(
      std::string_view type) const;

 private:
  static int AddEntry(void* file, const char* section, const char* key, const char* value);

  std::vector<IniSection> sections;
};

/// Splits `text` at commas, trims blanks and tabs around each element and omits empty elements.
std::vector<std::string> SplitList(std::string_view text);

/// Reads a whole file. Returns nothing if it cannot be read, which is logged.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace masticpin::standins
