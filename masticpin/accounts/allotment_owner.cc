#include "masticpin/accounts/allotment_owner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace masticpin {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AllotmentShare AllotmentOwner::OnReport(const AllotmentReport& report, const Allotment& allotment) {
  assert(allotment.rate_per_second > 0);
  const TimePoint now = this->clock.Now();
  Account& account = this->GetAccount(report.account, allotment);
  this->Advance(account, allotment, now);
  account.offered_per_second += report.offered / Seconds(this->settings.rate_time_constant);
  const double max_debt =
      allotment.rate_per_second * this->settings.max_debt_seconds + allotment.burst;
  account.level =
      std::clamp(account.level - report.admitted, -max_debt, std::max(allotment.burst, 1.0));

  AllotmentShare share;
  share.granted = static_cast<std::uint32_t>(
      std::clamp(std::floor(account.level), 0.0, static_cast<double>(report.asked)));
  account.level -= share.granted;
  account.admitted += share.granted + report.admitted;
  share.settled = now - account.created_at >= this->settings.settling_time;
  share.offered_per_second = account.offered_per_second;
  const double horizon = Seconds(this->settings.horizon);
  const double demand = account.offered_per_second * horizon;
  const double available = allotment.rate_per_second * horizon + account.level;
  // Until the next token is earned, and then until the excess of the last second has passed.
  const double excess = std::clamp(demand / (allotment.rate_per_second * horizon) - 1, 0.0, 1.0);
  const double seconds =
      std::max(1 - account.level, 0.0) / allotment.rate_per_second + excess * horizon;
  share.retry_after = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  share.admitted_share = demand <= available ? 1 : std::max(available / demand, 0.0);
  return share;
}

AllotmentOwner::Account& AllotmentOwner::GetAccount(std::uint64_t id, const Allotment& allotment) {
  const auto found = this->accounts.find(id);
  if (found != this->accounts.end()) {
    return found->second;
  }
  return this->AddAccount(
      id, std::min(this->settings.initial_level +
                       this->settings.initial_level_seconds * allotment.rate_per_second,
                   allotment.burst));
}

void AllotmentOwner::TakeOver(std::uint64_t id, const AllotmentBucketState& other) {
  const auto found = this->accounts.find(id);
  if (found == this->accounts.end()) {
    this->AddAccount(id, other.level);
    return;
  }
  double& level = found->second.level;
  level = std::max(level - other.admitted, std::min(level, other.level));
}

AllotmentOwner::Account& AllotmentOwner::AddAccount(std::uint64_t id, double level) {
  if (this->accounts.size() >= this->settings.max_accounts) {
    this->accounts.clear();
  }
  Account& added = this->accounts[id];
  added.level = level;
  added.created_at = this->clock.Now();
  added.updated_at = added.created_at;
  return added;
}

void AllotmentOwner::Advance(Account& account, const Allotment& allotment, TimePoint now) const {
  if (now - account.updated_at >= this->settings.max_report_gap) {
    account.created_at = now;
  }
  const double elapsed = Seconds(now - account.updated_at);
  account.updated_at = now;
  account.level =
      std::min(account.level + elapsed * allotment.rate_per_second, std::max(allotment.burst, 1.0));
  account.offered_per_second *= std::exp(-elapsed / Seconds(this->settings.rate_time_constant));
}

void AllotmentOwner::RemoveIdle() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->accounts, [&](const auto& entry) {
    return now - entry.second.updated_at >= this->settings.idle_timeout;
  });
}

}  // namespace masticpin
