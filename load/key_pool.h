#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::load {

/// Keys from Masticpin-Next-Key headers, for the callers' next actions. Thread-safe.
class KeyPool {
 public:
  /// Adds "<key>; life=<seconds>", received at `now`. Ignores what it cannot read.
  void Add(std::string_view header, TimePoint now);

  /// Takes the newest key that is still good for a while, or returns an empty string.
  std::string Take(TimePoint now);

 private:
  struct Entry {
    std::string key;
    TimePoint expires;
  };

  std::mutex mutex;
  std::vector<Entry> entries;
};

}  // namespace masticpin::load
