#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/clock.h"

namespace masticpin::standins {

/// A fault that the configuration service simulates.
enum class ConfigFault : std::uint8_t {
  kNone,
  /// All reads fail.
  kDown,
  /// Documents published since the fault began are not visible.
  kStale,
  /// Readers see the version that was published first.
  kFirstVersion,
};

/// Parses "none", "down", "stale" or "back". Returns nothing for any other name.
std::optional<ConfigFault> ParseConfigFault(const std::string& name);

/// The configuration service without HTTP: its documents, simulated fault and rate limit.
/// Thread-safe.
class ConfigStore {
 public:
  struct Document {
    std::uint64_t version = 0;
    std::string text;
  };
  enum class ReadStatus : std::uint8_t { kFound, kAbsent, kDown, kTooManyCalls };
  struct ReadResult {
    ReadStatus status = ReadStatus::kAbsent;
    Document document;
  };

  /// `clock` must outlive the object. `calls_per_second` limits the calls of all readers together.
  ConfigStore(const Clock& clock, std::uint64_t calls_per_second)
      : clock(clock), calls_per_second(calls_per_second) {}

  /// Publishes a new version of a document. The version number is taken from the [manifest] section
  /// of `text`; without one, it is one more than that of the previous version.
  void Publish(const std::string& name, const std::string& text);
  void SetFault(ConfigFault value);

  /// Counts a call. Returns false if the rate limit refuses it; call Peek() only after true.
  bool CountCall();
  /// Returns what a reader sees now, without counting a call.
  ReadResult Peek(const std::string& name) const;
  /// Counts a call and, if it is within the rate limit, returns the result of Peek().
  ReadResult Read(const std::string& name);

  /// Number of calls since the start, including refused ones.
  std::uint64_t Calls() const;
  std::uint64_t RefusedCalls() const;

 private:
  const Clock& clock;
  const std::uint64_t calls_per_second;
  mutable std::mutex mutex;
  std::map<std::string, std::vector<Document>> documents;
  // Number of versions of each document that were published when the kStale fault began.
  std::map<std::string, std::size_t> visible_when_stale;
  ConfigFault fault = ConfigFault::kNone;
  std::uint64_t calls = 0;
  std::uint64_t refused_calls = 0;
  TimePoint second_started_at{};
  std::uint64_t calls_in_second = 0;
};

}  // namespace masticpin::standins
