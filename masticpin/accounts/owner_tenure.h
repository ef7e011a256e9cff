#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "masticpin/base/clock.h"

namespace masticpin {

struct OwnerTenureSettings {
  /// Interval at which an owner that is not the first candidate claims its accounts: it offers them
  /// to the first candidate.
  Duration claim_interval = std::chrono::milliseconds(400);
  /// Time after a start in which the claims of all owners arrive: two intervals, as one may be
  /// lost, and their way.
  Duration claim_wait = std::chrono::milliseconds(1000);
  /// Time for which a node that has handed an account over sends other nodes on to the new owner.
  Duration handover_memory = std::chrono::milliseconds(1000);
};

/// Decides whether a node may own allotments, so that no two nodes own the same one for longer than
/// a claim takes. A node that has just started does not know what was granted before it, nor which
/// node grants now: it owns an account only after its owner has handed it over, or once any owner
/// would have claimed it. Not thread-safe.
class OwnerTenure {
 public:
  using Settings = OwnerTenureSettings;

  /// `clock` must outlive the object.
  explicit OwnerTenure(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Called when the node has a configuration; only the first call has an effect. A node without
  /// one owns nothing.
  void OnConfigured();

  /// Whether the node may own the account.
  bool MayOwn(std::uint64_t account) const;

  /// Records that the node has taken an account over from another node, or has handed it over.
  void OnTakenOver(std::uint64_t account);
  void OnHandedOver(std::uint64_t account);

  /// Whether the node has handed the account over a moment ago.
  bool HasHandedOver(std::uint64_t account) const;

  /// Returns whether the accounts that the node owns should be claimed now. At most true once per
  /// interval.
  bool TryStartClaims();

  /// Forgets handovers that are no longer recent.
  void RemoveExpired();

 private:
  /// Whether the time after the start is over.
  bool IsSettled() const;

  const Clock& clock;
  const Settings settings;
  std::optional<TimePoint> configured_at;
  TimePoint claimed_at{};
  /// Accounts that were taken over in the time after the start.
  std::unordered_set<std::uint64_t> taken_over;
  std::unordered_map<std::uint64_t, TimePoint> handed_over_at;
};

}  // namespace masticpin
