#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace masticpin::load {

/// Arrivals and runs at all upstreams, summed by action key and kind. Not thread-safe.
class RunTable {
 public:
  struct Counts {
    std::uint64_t arrivals = 0;
    std::uint64_t runs = 0;
    /// Whether a run has an effect, so that it must not happen twice.
    bool commits = false;
  };
  using ByKind = std::map<std::string, Counts>;

  /// Adds the counts of one upstream from the text of its `/_upstream/actions`. Returns false if a
  /// line is malformed.
  bool Add(const std::string& text);

  /// Adds the counts of the key `action` to `sum`.
  void AddTo(const std::string& action, ByKind& sum) const;

 private:
  std::unordered_map<std::string, ByKind> actions;
};

}  // namespace masticpin::load
