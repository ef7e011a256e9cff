#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// What an entry of the registry says about the process that is known.
enum class LocalEntryEffect : std::uint8_t {
  /// The entry is that of a process that has ended and has no effect.
  kIgnored,
  kSameProcess,
  /// Another process runs now.
  kNewProcess,
};

struct LocalInstanceStateSettings {
  /// Time for which the entry of the known process is ignored after a response has reported another
  /// name. An entry that is still listed after that is tried again.
  Duration registration_time = std::chrono::seconds(2);
};

/// Decides whether the instance beside the node may get new requests. Only the registry's entry
/// puts an instance in use. A response that reports another name shows that the known process has
/// ended, but not which service the new one belongs to: the address may have been assigned to
/// another service. Not thread-safe.
class LocalInstanceState {
 public:
  using Settings = LocalInstanceStateSettings;

  /// `clock` must outlive the state.
  explicit LocalInstanceState(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Applies the entry of the node's service that the registry lists for the address of the
  /// instance; nullptr if there is none.
  LocalEntryEffect OnEntry(const UpstreamInstance* entry);

  /// Records the name that a response reported. Returns whether it is news; the instance then gets
  /// no requests until the registry lists a process at its address that is not the known one.
  bool OnNameReported(const std::string& new_name);

  /// Whether the instance gets no new requests because it announced its departure, was removed, or
  /// was replaced by a process that the registry has not listed yet.
  bool IsLeaving() const { return this->leaving; }

  /// Name that the registry has listed; empty until then.
  const std::string& Name() const { return this->name; }

 private:
  const Clock& clock;
  const Settings settings;
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  /// Name that a response reported and the registry has not listed yet; empty if there is none.
  std::string reported_name;
  TimePoint reported_at{};
};

}  // namespace masticpin
