#include "standins/run_counter.h"

namespace masticpin::standins {

void RunCounter::CountArrival(const std::string& action, const std::string& kind) {
  const std::lock_guard lock(this->mutex);
  ++this->actions[action][kind].arrivals;
}

void RunCounter::CountRun(const std::string& action, const std::string& kind) {
  const std::lock_guard lock(this->mutex);
  ++this->actions[action][kind].runs;
}

std::map<std::string, RunCounter::Counts> RunCounter::Totals() const {
  const std::lock_guard lock(this->mutex);
  std::map<std::string, Counts> totals;
  for (const auto& [action, kinds] : this->actions) {
    for (const auto& [kind, counts] : kinds) {
      totals[kind].arrivals += counts.arrivals;
      totals[kind].runs += counts.runs;
    }
  }
  return totals;
}

std::vector<RunCounter::Entry> RunCounter::Entries(std::uint64_t min_runs) const {
  const std::lock_guard lock(this->mutex);
  std::vector<Entry> entries;
  for (const auto& [action, kinds] : this->actions) {
    for (const auto& [kind, counts] : kinds) {
      if (counts.runs >= min_runs) {
        entries.push_back({action, kind, counts});
      }
    }
  }
  return entries;
}

std::map<std::string, RunCounter::Counts> RunCounter::Find(const std::string& action) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->actions.find(action);
  return found == this->actions.end() ? ByKind() : found->second;
}

}  // namespace masticpin::standins
