#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem_list.h"

namespace masticpin {

/// One "key = value" entry of an INI file.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// One section of an INI file.
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

/// The sections of an INI file, in file order.
struct IniDocument {
  std::vector<IniSection> sections;
};

/// Parses INI text of at most `max_bytes`. The input may be arbitrary bytes. Reports lines that are
/// too long or invalid, keys outside of sections, and duplicates in `problems`; the document then
/// holds everything that could be read. Returns nullopt, and reports the reason, if the text is too
/// large or not UTF-8. A value that ends with a comma may continue on an indented line.
std::optional<IniDocument> ReadIniDocument(std::string_view text,
                                           std::size_t max_bytes,
                                           IniProblemList& problems);

}  // namespace masticpin
