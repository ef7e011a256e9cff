#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticpin::standins {

/// Counts the arrivals and committed runs of each action, so that a test can check the guarantees
/// of the nodes independently of them. Thread-safe.
class RunCounter {
 public:
  /// Counts of one kind, either for one action or summed over all actions.
  struct Counts {
    /// Requests that reached the upstream.
    std::uint64_t arrivals = 0;
    /// Requests that ran to completion and committed.
    std::uint64_t runs = 0;
  };
  struct Entry {
    std::string action;
    std::string kind;
    Counts counts;
  };

  void CountArrival(const std::string& action, const std::string& kind);
  void CountRun(const std::string& action, const std::string& kind);

  std::map<std::string, Counts> Totals() const;
  /// Returns the entries with at least `min_runs` runs.
  std::vector<Entry> Entries(std::uint64_t min_runs) const;
  /// Returns the counts of one action by kind.
  std::map<std::string, Counts> Find(const std::string& action) const;

 private:
  using ByKind = std::map<std::string, Counts>;

  mutable std::mutex mutex;
  std::unordered_map<std::string, ByKind> actions;
};

}  // namespace masticpin::standins
