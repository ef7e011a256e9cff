#include "masticpin/base/ini_problem_list.h"

#include <algorithm>
#include <utility>

namespace masticpin {

std::string FormatProblem(const IniProblem& problem) {
  std::string text = problem.file + ":";
  if (problem.line > 0) {
    text += std::to_string(problem.line) + ":";
  }
  if (!problem.section.empty()) {
    text += " [" + problem.section + "]";
  }
  if (!problem.key.empty()) {
    text += " " + problem.key + ":";
  }
  return text + " " + problem.message;
}

IniProblemList::IniProblemList(std::string_view file) : file(file) {}

void IniProblemList::Add(int line,
                         std::string_view section,
                         std::string_view key,
                         std::string message) {
  if (this->problems.size() >= kMaxProblems) {
    ++this->omitted;
    return;
  }
  this->problems.push_back(
      {this->file, line, std::string(section), std::string(key), std::move(message)});
}

std::vector<IniProblem> IniProblemList::Take() {
  std::vector<IniProblem> taken = std::exchange(this->problems, {});
  std::stable_sort(taken.begin(), taken.end(),
                   [](const IniProblem& a, const IniProblem& b) { return a.line < b.line; });
  if (this->omitted > 0) {
    taken.push_back(
        {this->file, 0, "", "", std::to_string(this->omitted) + " more problems are not listed"});
    this->omitted = 0;
  }
  return taken;
}

}  // namespace masticpin
