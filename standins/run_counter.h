#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticpin::standins {

/// Counts arrivals and committed runs of each action, so that a test can tell from outside whether
/// the nodes kept their promises. Thread-safe.
class RunCounter {
 public:
  /// Figures of one action and kind, or of one kind over all actions.
  struct Counts {
    /// Requests that reached the upstream.
    std::uint64_t arrivals = 0;
    /// Requests that were run to the end and committed.
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
  /// Entries with at least `min_runs` runs.
  std::vector<Entry> Entries(std::uint64_t min_runs) const;
  /// Figures of one action by kind.
  std::map<std::string, Counts> Find(const std::string& action) const;

 private:
  using ByKind = std::map<std::string, Counts>;

  mutable std::mutex mutex;
  std::unordered_map<std::string, ByKind> actions;
};

}  // namespace masticpin::standins
