#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "masticpin/base/clock.h"
#include "masticpin/routing/upstream_instance.h"

namespace masticpin {

/// What an entry of the registry says about the process that is known.
enum class LocalEntryEffect : std::uint8_t {
  /// The entry is that of a predecessor and has no effect.
  kIgnored,
  kSameProcess,
  /// Another process runs now.
  kNewProcess,
};

struct LocalInstanceStateSettings {
  /// Time that a new instance has to register. One whose entry the registry does not have after
  /// that has left.
  Duration registration_time = std::chrono::seconds(2);
};

/// Decides whether the instance beside the node may get new requests. The state comes from the
/// registry's entry; after a restart, the instance itself reports its new name before the registry
/// does. Not thread-safe.
class LocalInstanceState {
 public:
  using Settings = LocalInstanceStateSettings;

  /// `clock` must outlive the state.
  explicit LocalInstanceState(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Applies the entry that the registry lists for the address of the instance; nullptr if there is
  /// none.
  LocalEntryEffect OnEntry(const UpstreamInstance* entry);

  /// Records that the registry has no entry of this name. Must not be called while entries may be
  /// missing because of an outage of the registry.
  void OnEntryMissing(std::string_view name);

  /// Records the name that a response reported. Returns whether another process has replaced the
  /// known one.
  bool OnNameReported(const std::string& reported_name);

  /// Whether the instance gets no new requests because it announced its departure or was removed.
  bool IsLeaving() const { return this->leaving; }

  /// Name of the running instance; empty until the registry or a response has reported it.
  const std::string& Name() const { return this->name; }

 private:
  const Clock& clock;
  const Settings settings;
  std::string name;
  /// Incarnation in the registry; 0 if the instance is not listed.
  std::uint64_t incarnation = 0;
  bool leaving = false;
  /// Whether the name was reported by a response and the registry has not listed it yet.
  bool unlisted = false;
  TimePoint reported_at{};
};

}  // namespace masticpin
