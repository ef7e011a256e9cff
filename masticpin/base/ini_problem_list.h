#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ini_problem.h"

namespace masticpin {

/// Collects the problems of one file.
class IniProblemList {
 public:
  /// A file of wrong lines would otherwise cost far more memory than the file itself; nobody reads
  /// more problems than this at once.
  static constexpr std::size_t kMaxProblems = 1000;

  explicit IniProblemList(std::string_view file);

  /// Adds a problem. Problems above kMaxProblems are only counted.
  void Add(int line, std::string_view section, std::string_view key, std::string message);

  bool Empty() const { return this->problems.empty(); }

  /// Returns the problems ordered by line and leaves the list empty. When some were only counted,
  /// the last entry says how many.
  std::vector<IniProblem> Take();

 private:
  std::string file;
  std::vector<IniProblem> problems;
  std::size_t omitted = 0;
};

}  // namespace masticpin
