#include "load/run_table.h"

#include <sstream>

namespace masticpin::load {

bool RunTable::Add(const std::string& text) {
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    std::istringstream fields(line);
    std::string action;
    std::string kind;
    Counts counts;
    if (!(fields >> action >> kind >> counts.arrivals >> counts.runs >> counts.commits)) {
      return false;
    }
    Counts& sum = this->actions[action][kind];
    sum.arrivals += counts.arrivals;
    sum.runs += counts.runs;
    sum.commits = counts.commits;
  }
  return true;
}

void RunTable::AddTo(const std::string& action, ByKind& sum) const {
  const auto found = this->actions.find(action);
  if (found == this->actions.end()) {
    return;
  }
  for (const auto& [kind, counts] : found->second) {
    Counts& total = sum[kind];
    total.arrivals += counts.arrivals;
    total.runs += counts.runs;
    total.commits = counts.commits;
  }
}

}  // namespace masticpin::load
