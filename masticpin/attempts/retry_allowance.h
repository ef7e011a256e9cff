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
  /// number of nodes, and windows that end between two slots.
  double used_part = 0.75;
  /// Part of that which less important requests may use up. The rest stays for the most important
  /// ones, which come at any time and would find nothing left.
  double less_important_part = 0.4;
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
  /// them. `nodes` is the number of nodes that share the budget.
  bool TryRepeat(std::uint32_t cost, std::size_t nodes, bool important);

  /// Counts one repeat that was not asked for: a call that a repeated request causes.
  void OnForcedRepeat() { ++this->CurrentSlot().repeats; }

 private:
  static constexpr std::size_t kSlots = 10;

  struct Slot {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  Slot& CurrentSlot();

  const Clock& clock;
  const Settings settings;
  std::array<Slot, kSlots> slots{};
};

}  // namespace masticpin
