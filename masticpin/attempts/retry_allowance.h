#pragma once

#include <array>
#include <cstdint>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct RetryAllowanceSettings {
  /// Repeats that all nodes together may send to one service in any window, as a share of the
  /// requests for it, and the constant part.
  double ratio = 0.2;
  double slack = 48;
  Duration window = std::chrono::seconds(10);
  /// Part of the shared budget that is handed out. The rest covers nodes that disagree about the
  /// number of nodes, and requests that arrive later than they are counted.
  double used_part = 0.85;
  /// Part of that which less important requests may use up. The rest stays for the most important
  /// ones, which come at any time and would find nothing left.
  double less_important_part = 0.4;
  /// Part that the important calls of the lowest rank may use up; it rises with the rank to 1. A
  /// request whose calls must all succeed is worth no repeat unless each of them gets one, so that
  /// a scarce budget has to go to the same requests everywhere.
  double lowest_rank_part = 0.2;
};

/// One node's part of a retry budget that all nodes share without a counter: its own requests for
/// the service earn repeats, and the constant part is divided by the number of nodes. Not
/// thread-safe.
class RetryAllowance {
 public:
  using Settings = RetryAllowanceSettings;

  /// `clock` must outlive the allowance.
  RetryAllowance(const Clock& clock, Settings settings);

  /// Counts one request that arrived for the service.
  void OnRequest();

  /// Counts `cost` repeats and returns true, or returns false if the node's part does not cover
  /// them. `nodes` is the number of nodes that share the budget. `rank` is 0 to 1; 1 for a request
  /// that is no call of another one.
  bool TryRepeat(std::uint32_t cost, std::size_t nodes, bool important, double rank = 1);

  /// Counts one repeat that was not asked for: a call that a repeated request causes.
  void OnForcedRepeat() { ++this->CurrentSlot().repeats; }

 private:
  /// Slots of one window, and of the history: the window before the present one counts too.
  static constexpr std::int64_t kWindowSlots = 10;
  static constexpr std::size_t kSlots = 2 * kWindowSlots;

  struct Slot {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  Slot& CurrentSlot();
  /// Requests of the window that ends with slot `last`.
  std::uint64_t RequestsUntil(std::int64_t last) const;

  const Clock& clock;
  const Settings settings;
  std::array<Slot, kSlots> slots{};
};

}  // namespace masticpin
