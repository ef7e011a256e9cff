#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "masticpin/base/clock.h"

namespace masticpin {

struct AccountFairnessSettings {
  /// Interval at which the order of the accounts is computed again.
  Duration update_interval = std::chrono::milliseconds(100);
  /// Time constant of the average of each account's traffic at this node.
  Duration rate_time_constant = std::chrono::seconds(2);
  /// Maximum number of accounts. When it is reached, all are discarded.
  std::size_t max_accounts = 100'000;
};

/// Ranks the requests of one importance so that a service without room for all of them serves the
/// client accounts by max-min fairness, weighted by their allotments: whatever share of the ranks a
/// service admits, no account gets more of its allotment than another that asks for as much. The
/// ranks are uniform over the traffic of the node, as those of a hash would be. Not thread-safe.
class AccountFairness {
 public:
  using Settings = AccountFairnessSettings;

  /// `clock` must outlive the object.
  explicit AccountFairness(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Returns the rank of a request. `position` is a hash of the request that is uniform over all
  /// numbers; `relative_demand` is the rate that the account uses over all nodes divided by its
  /// allotment, or 1 if either is unknown.
  std::uint16_t Rank(std::uint64_t account, double relative_demand, std::uint16_t position);

 private:
  struct Account {
    /// Requests per second at this node.
    double rate = 0;
    TimePoint updated_at{};
    double relative_demand = 1;
  };
  /// Accounts in the order of their relative demand, with sums up to each of them.
  struct Step {
    double relative_demand = 0;
    /// Sum of the rates of this account and all before it.
    double rate = 0;
    /// Sum of rate / relative demand of this account and all before it.
    double weight = 0;
  };

  void OnRequest(std::uint64_t account, double relative_demand, TimePoint now);
  /// Computes the steps from the current rates.
  void Update(TimePoint now);
  double RateAt(const Account& account, TimePoint now) const;
  /// Share of the traffic whose key is below `key`.
  double ShareBelow(double key) const;

  const Clock& clock;
  const Settings settings;
  std::unordered_map<std::uint64_t, Account> accounts;
  std::vector<Step> steps;
  TimePoint updated_at{};
};

}  // namespace masticpin
