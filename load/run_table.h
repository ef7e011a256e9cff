#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace masticpin::load {

/// The counts of all upstreams, by action key. Not thread-safe.
class RunTable {
 public:
  struct Counts {
    std::uint64_t arrivals = 0;
    std::uint64_t runs = 0;
    /// Whether a run has an effect, so that a second one does harm.
    bool commits = false;
  };
  using ByKind = std::map<std::string, Counts>;

  /// Adds the text of one upstream's `/_upstream/actions`. Returns false if a line is malformed.
  bool Add(const std::string& text);

  /// Adds the counts of `action` to `sum`.
  void AddTo(const std::string& action, ByKind& sum) const;

 private:
  std::unordered_map<std::string, ByKind> actions;
};

}  // namespace masticpin::load
