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
  /// Bounds the memory: a file of invalid lines would otherwise need far more memory for its
  /// problems than for its text. More problems than this are of no use to an operator.
  static constexpr std::size_t kMaxProblems = 1000;

  explicit IniProblemList(std::string_view file);

  /// Adds a problem. Beyond kMaxProblems, problems are only counted.
  void Add(int line, std::string_view section, std::string_view key, std::string message);

  bool Empty() const { return this->problems.empty(); }

  /// Returns the problems ordered by line and clears the list. If some were only counted, the last
  /// entry states their number.
  std::vector<IniProblem> Take();

 private:
  std::string file;
  std::vector<IniProblem> problems;
  std::size_t omitted = 0;
};

}  // namespace masticpin
