#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct InstanceRetryBudgetSettings {
  /// Repeats that may reach all instances of a service in any window, as a share of the requests
  /// for it, and the constant part.
  double ratio = 0.2;
  double slack = 48;
  Duration window = std::chrono::seconds(10);
  /// Part of the shared budget that is handed out. The rest covers nodes that disagree about the
  /// number of instances, and requests that arrive later than they are counted.
  double usable_share = 0.85;
  /// Part of that which less important requests may use up. The rest stays for the most important
  /// ones, which come at any time and would find nothing left.
  double less_important_share = 0.4;
  /// Part that calls of other requests may use up. The rest stays for requests of callers: one
  /// repeat saves such a request, while a chain of calls needs one for each call that fails.
  double inner_call_share = 0.8;
  /// Part that the important calls of the lowest rank may use up; it rises with the rank to
  /// `calls_part`. A request whose calls must all succeed is worth no repeat unless each of them
  /// gets one, so that a scarce budget has to go to the same requests everywhere.
  double lowest_rank_share = 0.2;
};

/// The part of a service's retry budget that belongs to one of its instances. The node beside the
/// instance grants it to the nodes that want to repeat a request there: the requests that reach the
/// instance earn repeats, and the constant part is divided by the number of instances. No counter
/// is shared, and callers everywhere compete for the same repeats by importance. Not thread-safe.
class InstanceRetryBudget {
 public:
  using Settings = InstanceRetryBudgetSettings;

  /// `clock` must outlive the allowance.
  InstanceRetryBudget(const Clock& clock, Settings settings);

  /// Counts the first arrival of a request at the instance.
  void OnRequest();

  /// Counts `cost` repeats and returns true, or returns false if the instance's part does not cover
  /// them. `instances` is the number of instances of the service, 0 while it is not known, which
  /// gives no constant part. `chain_rank` is the rank, 0 to 1, of the request that caused this
  /// call; nothing for a request of a caller.
  bool TryRetry(std::uint32_t cost,
                std::size_t instances,
                bool important,
                std::optional<double> chain_rank = std::nullopt);

  /// Repeats of the most important requests that are still covered.
  std::uint32_t RetriesLeft(std::size_t instances) const;

  /// Counts one repeat that needs no grant: a call that a repeated request causes.
  void OnUncheckedRetry() { ++this->CurrentSlot().retries; }

 private:
  /// Slots of one window, and of the history: the window before the present one counts too.
  static constexpr std::int64_t kWindowSlots = 10;
  static constexpr std::size_t kSlots = 2 * kWindowSlots;

  struct Slot {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  std::int64_t CurrentIndex() const;
  Slot& CurrentSlot();
  /// Repeats of the present window.
  std::uint64_t RetriesInWindow() const;
  /// The instance's part of the shared budget.
  double InstanceShare(std::size_t instances) const;
  /// Requests of the window that ends with slot `last`.
  std::uint64_t RequestsUntil(std::int64_t last) const;

  const Clock* clock;
  Settings settings;
  std::array<Slot, kSlots> slots{};
};

}  // namespace masticpin
