#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The file in which a case notes what was sent, answered and run. Each line begins with the
/// milliseconds since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Line(const std::string& text);

  /// Milliseconds since the start.
  long Now() const;

 private:
  std::mutex mutex;
  std::ofstream file;
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

}  // namespace review
