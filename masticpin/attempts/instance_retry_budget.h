#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "masticpin/base/clock.h"
#include "masticpin/base/time.h"

namespace masticpin {

struct InstanceRetryBudgetSettings {
  /// Maximum number of retries to all instances of a service in any window: `ratio` times the
  /// number of requests for the service, plus the constant `slack`.
  double ratio = 0.2;
  double slack = 48;
  Duration window = std::chrono::seconds(10);
  /// Share of the retry budget that can be granted. The rest is a margin for nodes that disagree
  /// about the number of instances, and for requests that arrive after they were counted.
  double usable_share = 0.85;
  /// Share of the grantable retries that less important requests may use. The rest is reserved for
  /// the most important ones, which arrive at any time and would otherwise find the budget used up.
  double less_important_share = 0.4;
  /// Share of the grantable retries that inner calls may use. The rest is reserved for requests of
  /// callers: one retry saves such a request, while a call chain needs a retry for each inner call
  /// that fails.
  double inner_call_share = 0.8;
  /// Share of the grantable retries that important inner calls of the lowest rank may use; it rises
  /// with the rank to `inner_call_share`. A retry of one inner call is wasted unless all inner
  /// calls of the request get the retries that they need, so a scarce budget must go to the same
  /// requests at all instances.
  double lowest_rank_share = 0.2;
};

/// The share of a service's retry budget that belongs to one of its instances. The node of the
/// instance grants retries from it to the nodes that want to retry a request there. The budget
/// grows with the requests that reach the instance; the constant `slack` is divided by the number
/// of instances. No counter is shared between nodes, and all callers compete for the same retries
/// by importance. Not thread-safe.
class InstanceRetryBudget {
 public:
  using Settings = InstanceRetryBudgetSettings;

  /// `clock` must outlive the budget.
  InstanceRetryBudget(const Clock& clock, Settings settings);

  /// Counts the first arrival of a request at the instance; retries are not counted.
  void OnRequest();

  /// Counts `cost` retries and returns true, or returns false if the budget of the instance does
  /// not cover them. `instances` is the number of instances of the service; 0 if it is unknown, in
  /// which case there is no constant `slack`. `chain_rank` is the rank, 0 to 1, of the request that
  /// makes this inner call; nullopt for a request of a caller.
  bool TryRetry(std::uint32_t cost,
                std::size_t instances,
                bool important,
                std::optional<double> chain_rank = std::nullopt);

  /// Number of retries that the budget still covers for the most important requests.
  std::uint32_t RetriesLeft(std::size_t instances) const;

  /// Counts one retry that needs no grant: an inner call of a request that was itself retried.
  void OnUncheckedRetry() { ++this->CurrentSlot().retries; }

 private:
  /// Number of slots in one window, and in the history, which also covers the window before the
  /// current one.
  static constexpr std::int64_t kWindowSlots = 10;
  static constexpr std::size_t kSlots = 2 * kWindowSlots;

  struct Slot {
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  std::int64_t CurrentIndex() const;
  Slot& CurrentSlot();
  /// Number of retries in the current window.
  std::uint64_t RetriesInWindow() const;
  /// The instance's share of the retry budget, including the margin that is not granted.
  double InstanceShare(std::size_t instances) const;
  /// Requests of the window that ends with slot `last`.
  std::uint64_t RequestsUntil(std::int64_t last) const;

  const Clock* clock;
  Settings settings;
  std::array<Slot, kSlots> slots{};
};

}  // namespace masticpin
