#pragma once

#include <string>

namespace masticpin {

/// One mistake in an INI file.
struct IniProblem {
  std::string file;
  /// Line number from 1; 0 when the problem concerns the file as a whole.
  int line = 0;
  /// Section name without brackets; empty outside of sections.
  std::string section;
  /// Empty when the problem concerns the section as a whole.
  std::string key;
  /// What is wrong and what is allowed.
  std::string message;
};

/// Returns "file:line: [section] key: message", without the parts that are empty.
std::string FormatProblem(const IniProblem& problem);

}  // namespace masticpin
