#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::load {

/// Collects keys from Masticpin-Next-Key headers for the callers' next actions. Thread-safe.
class KeyPool {
 public:
  /// Adds the key of `header`, "<key>; life=<seconds>", which was received at `now`. Ignores a
  /// malformed header.
  void Add(std::string_view header, TimePoint now);

  /// Removes and returns the newest key that stays valid long enough for an action, or returns an
  /// empty string. Drops newer keys that expire too soon.
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
