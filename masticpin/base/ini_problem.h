#pragma once

#include <string>

namespace masticpin {

/// One problem in an INI file.
struct IniProblem {
  std::string file;
  /// Line number, starting at 1; 0 when the problem concerns the whole file.
  int line = 0;
  /// Section name without brackets; empty outside of sections.
  std::string section;
  /// Empty when the problem concerns the whole section.
  std::string key;
  /// What is wrong and what is allowed.
  std::string message;
};

/// Returns "file:line: [section] key: message"; empty parts are omitted.
std::string FormatProblem(const IniProblem& problem);

}  // namespace masticpin
