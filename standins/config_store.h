#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "masticpin/base/clock.h"

namespace masticpin::standins {

/// What is wrong with the configuration service.
enum class ConfigFault : std::uint8_t {
  kNone,
  /// Nothing can be read.
  kDown,
  /// What is published meanwhile is not visible.
  kStale,
  /// The value published first is shown.
  kFirstVersion,
};

/// Returns the fault named none, down, stale or back.
std::optional<ConfigFault> ParseConfigFault(const std::string& name);

/// The documents of the configuration service, its faults and its call rate. Thread-safe.
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

  /// `clock` must outlive the object. `calls_per_second` bounds the calls over all readers.
  ConfigStore(const Clock& clock, std::uint64_t calls_per_second)
      : clock(clock), calls_per_second(calls_per_second) {}

  /// Adds a value. Its version is the manifest's own; a text without one gets the next number.
  void Publish(const std::string& name, const std::string& text);
  void SetFault(ConfigFault value);

  /// Counts a call; to be followed by Look() only if it returns true.
  bool CountCall();
  /// What a reader sees now, without counting a call.
  ReadResult Peek(const std::string& name) const;
  /// CountCall() and Look().
  ReadResult Read(const std::string& name);

  /// Calls since the start, refused ones included.
  std::uint64_t Calls() const;
  std::uint64_t RefusedCalls() const;

 private:
  const Clock& clock;
  const std::uint64_t calls_per_second;
  mutable std::mutex mutex;
  std::map<std::string, std::vector<Document>> documents;
  // Number of values of each document that were visible when the service became stale.
  std::map<std::string, std::size_t> visible_when_stale;
  ConfigFault fault = ConfigFault::kNone;
  std::uint64_t calls = 0;
  std::uint64_t refused_calls = 0;
  TimePoint second_started_at{};
  std::uint64_t calls_in_second = 0;
};

}  // namespace masticpin::standins
