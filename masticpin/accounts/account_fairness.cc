#include "masticpin/accounts/account_fairness.h"

#include <algorithm>
#include <cmath>

namespace masticpin {
namespace {

constexpr double kRanks = 65536;

/// Bounds of the relative demand. Estimates of the demand of an account with few requests vary by
/// more than a factor of ten.
constexpr double kMinDemand = 0.1;
constexpr double kMaxDemand = 100;

/// Accounts with a lower rate than this are dropped, in requests per second.
constexpr double kMinRate = 0.001;

}  // namespace

std::uint16_t AccountFairness::Rank(std::uint64_t account,
                                    double relative_demand,
                                    std::uint16_t position) {
  const TimePoint now = this->clock.Now();
  const double demand = std::clamp(relative_demand, kMinDemand, kMaxDemand);
  this->OnRequest(account, demand, now);
  if (this->steps.empty() || now - this->updated_at >= this->settings.update_interval) {
    this->Update(now);
  }
  // The position within the requests of the account, times its demand, is the share of the
  // allotment at which the request is served: a threshold serves all accounts up to one share.
  const double key = (position + 0.5) / kRanks * demand;
  const double above = 1 - this->ShareBelow(key);
  return static_cast<std::uint16_t>(std::clamp(above * kRanks, 0.0, kRanks - 1));
}

void AccountFairness::OnRequest(std::uint64_t id, double relative_demand, TimePoint now) {
  if (this->accounts.size() >= this->settings.max_accounts && !this->accounts.contains(id)) {
    this->accounts.clear();
  }
  Account& account = this->accounts[id];
  const double time_constant =
      std::chrono::duration<double>(this->settings.rate_time_constant).count();
  account.rate = this->RateAt(account, now) + 1 / time_constant;
  account.updated_at = now;
  account.relative_demand = relative_demand;
}

double AccountFairness::RateAt(const Account& account, TimePoint now) const {
  const std::chrono::duration<double> age = now - account.updated_at;
  const std::chrono::duration<double> time_constant = this->settings.rate_time_constant;
  return account.rate * std::exp(-age.count() / time_constant.count());
}

void AccountFairness::Update(TimePoint now) {
  this->updated_at = now;
  this->steps.clear();
  for (auto entry = this->accounts.begin(); entry != this->accounts.end();) {
    Account& account = entry->second;
    account.rate = this->RateAt(account, now);
    account.updated_at = now;
    if (account.rate < kMinRate) {
      entry = this->accounts.erase(entry);
      continue;
    }
    this->steps.push_back(
        {account.relative_demand, account.rate, account.rate / account.relative_demand});
    ++entry;
  }
  std::sort(this->steps.begin(), this->steps.end(), [](const Step& left, const Step& right) {
    return left.relative_demand < right.relative_demand;
  });
  for (std::size_t i = 1; i < this->steps.size(); ++i) {
    this->steps[i].rate += this->steps[i - 1].rate;
    this->steps[i].weight += this->steps[i - 1].weight;
  }
}

double AccountFairness::ShareBelow(double key) const {
  if (this->steps.empty()) {
    return 0;
  }
  // Accounts with a lower demand than the key have all their requests below it, and the others the
  // share key / demand.
  const auto first_above =
      std::upper_bound(this->steps.begin(), this->steps.end(), key,
                       [](double value, const Step& step) { return value < step.relative_demand; });
  double rate_below = 0;
  double weight_below = 0;
  if (first_above != this->steps.begin()) {
    rate_below = (first_above - 1)->rate;
    weight_below = (first_above - 1)->weight;
  }
  const double rate = rate_below + key * (this->steps.back().weight - weight_below);
  return rate / this->steps.back().rate;
}

}  // namespace masticpin
