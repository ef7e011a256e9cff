#include "masticpin/accounts/allotment_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace masticpin {
namespace {

/// Limits of the delay after which a refused caller may return.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AllotmentDecision AllotmentLimiter::Decide(std::uint64_t id,
                                           const Allotment& allotment,
                                           std::size_t nodes) {
  Account& account = this->GetAccount(id, allotment, nodes);
  const TimePoint now = this->clock.Now();
  account.used_at = now;
  if (!this->exchange_enabled) {
    return this->TakeLocalToken(account, allotment, nodes) ? AllotmentDecision::kAdmitted
                                                           : AllotmentDecision::kRefused;
  }
  this->OnUnreported(account, now);
  ++account.offered;
  account.admitted_before_report =
      std::max(1.0, Seconds(this->settings.report_interval) * allotment.rate_per_second /
                        static_cast<double>(std::max<std::size_t>(nodes, 1)));
  bool admitted = true;
  if (account.isolated) {
    admitted = this->TakeLocalToken(account, allotment, nodes);
  } else if (allotment.rate_per_second < this->settings.min_rate_for_shares ||
             !this->IsShareValid(account, now)) {
    ++account.asked;
    return AllotmentDecision::kAsked;
  } else if (account.share->admitted_share < 1) {
    account.admission_sum += account.share->admitted_share;
    admitted = account.admission_sum >= 1;
    account.admission_sum -= admitted ? 1 : 0;
  }
  account.admitted += admitted ? 1 : 0;
  return admitted ? AllotmentDecision::kAdmitted : AllotmentDecision::kRefused;
}

bool AllotmentLimiter::DecideLocally(std::uint64_t id,
                                     const Allotment& allotment,
                                     std::size_t nodes) {
  Account& account = this->GetAccount(id, allotment, nodes);
  const bool admitted = this->TakeLocalToken(account, allotment, nodes);
  if (admitted && !account.isolated) {
    this->OnUnreported(account, this->clock.Now());
    ++account.admitted;
  }
  return admitted;
}

bool AllotmentLimiter::TakeLocalToken(Account& account,
                                      const Allotment& allotment,
                                      std::size_t nodes) const {
  const TimePoint now = this->clock.Now();
  const double part = this->LocalPart(nodes);
  const double elapsed = Seconds(now - account.local_updated_at);
  account.local_updated_at = now;
  account.local_level = std::min(account.local_level + elapsed * allotment.rate_per_second * part,
                                 std::max(allotment.burst * part, 1.0));
  if (account.local_level < 1) {
    return false;
  }
  account.local_level -= 1;
  return true;
}

void AllotmentLimiter::Refund(std::uint64_t id) {
  const auto found = this->accounts.find(id);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  if (!this->exchange_enabled || account.isolated) {
    account.local_level += 1;  // TakeLocalToken() limits it.
    return;
  }
  this->OnUnreported(account, this->clock.Now());
  --account.admitted;
}

Duration AllotmentLimiter::RetryAfter(std::uint64_t id,
                                      const Allotment& allotment,
                                      std::size_t nodes) const {
  double seconds = static_cast<double>(nodes) / allotment.rate_per_second;
  const auto found = this->accounts.find(id);
  if (found != this->accounts.end() && found->second.share && !found->second.isolated) {
    seconds = Seconds(found->second.share->retry_after);
  }
  const double bounded = std::clamp(seconds, Seconds(kMinRetryAfter), Seconds(kMaxRetryAfter));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

std::optional<double> AllotmentLimiter::OfferedPerSecond(std::uint64_t id) const {
  const auto found = this->accounts.find(id);
  return found == this->accounts.end() || !found->second.share || !found->second.share->settled
             ? std::nullopt
             : std::optional(found->second.share->offered_per_second);
}

void AllotmentLimiter::WithdrawQuestion(std::uint64_t id) {
  const auto found = this->accounts.find(id);
  if (found != this->accounts.end() && found->second.asked > 0) {
    --found->second.asked;
  }
}

std::uint32_t AllotmentLimiter::UnsentQuestions(std::uint64_t id) const {
  const auto found = this->accounts.find(id);
  return found == this->accounts.end() ? 0 : found->second.asked;
}

bool AllotmentLimiter::IsShareValid(const Account& account, TimePoint now) const {
  return account.share && account.share->settled &&
         now - account.share_at <= this->settings.share_lifetime;
}

void AllotmentLimiter::OnUnreported(Account& account, TimePoint now) const {
  if (!account.HasReport()) {
    account.unreported_since = now;
  }
}

bool AllotmentLimiter::IsReportDue(std::uint64_t id) const {
  const auto found = this->accounts.find(id);
  return found != this->accounts.end() && this->IsReportDue(found->second, this->clock.Now());
}

bool AllotmentLimiter::IsReportDue(const Account& account, TimePoint now) const {
  if (account.report_in_progress || !account.HasReport()) {
    return false;
  }
  if (account.isolated) {
    return now - account.isolated_since >= this->settings.retry_interval;
  }
  if (now - account.unreported_since >= this->settings.report_interval) {
    return true;
  }
  const bool urgent = account.asked > 0 || account.admitted >= account.admitted_before_report;
  return urgent && now - account.reported_at >= this->settings.min_report_interval;
}

std::vector<std::uint64_t> AllotmentLimiter::DueAccounts() const {
  const TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> due;
  for (const auto& [id, account] : this->accounts) {
    if (this->IsReportDue(account, now)) {
      due.push_back(id);
    }
  }
  return due;
}

bool AllotmentLimiter::HasWork() const {
  return std::any_of(this->accounts.begin(), this->accounts.end(), [](const auto& entry) {
    return entry.second.report_in_progress || entry.second.HasReport();
  });
}

AllotmentReport AllotmentLimiter::TakeReport(std::uint64_t id) {
  const auto found = this->accounts.find(id);
  assert(found != this->accounts.end());
  Account& account = found->second;
  const TimePoint now = this->clock.Now();
  const AllotmentReport report{id, account.offered, account.admitted, account.asked};
  account.offered = 0;
  account.admitted = 0;
  account.asked = 0;
  account.report_in_progress = true;
  account.reported_at = now;
  return report;
}

void AllotmentLimiter::OnShare(std::uint64_t id, const AllotmentShare& share) {
  const auto found = this->accounts.find(id);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  account.report_in_progress = false;
  account.isolated = false;
  account.share = share;
  account.share_at = this->clock.Now();
}

void AllotmentLimiter::OnReportLost(const AllotmentReport& report) {
  const auto found = this->accounts.find(report.account);
  if (found == this->accounts.end()) {
    return;
  }
  // The last share stays in force meanwhile.
  Account& account = found->second;
  account.report_in_progress = false;
  account.reported_at = TimePoint{};
  account.unreported_since = this->clock.Now() - this->settings.report_interval;
  account.offered += report.offered;
  account.admitted += report.admitted;
  account.asked += report.asked;
}

void AllotmentLimiter::OnNoOwner(std::uint64_t id, const Allotment& allotment, std::size_t nodes) {
  const auto found = this->accounts.find(id);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  const TimePoint now = this->clock.Now();
  if (!account.isolated) {
    // What was earned while an owner admitted the requests is not available besides.
    account.local_level = std::min(allotment.burst * this->LocalPart(nodes), 1.0);
    account.local_updated_at = now;
  }
  // What is admitted meanwhile counts only here.
  account.report_in_progress = false;
  account.isolated = true;
  account.isolated_since = now;
  account.share.reset();
  account.offered = 0;
  account.admitted = 0;
  account.asked = 0;
}

void AllotmentLimiter::RemoveIdle() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->accounts, [&](const auto& entry) {
    return now - entry.second.used_at >= this->settings.idle_timeout;
  });
}

double AllotmentLimiter::LocalPart(std::size_t nodes) const {
  return (this->exchange_enabled ? this->settings.isolated_share : 1) /
         static_cast<double>(std::max<std::size_t>(nodes, 1));
}

AllotmentLimiter::Account& AllotmentLimiter::GetAccount(std::uint64_t id,
                                                        const Allotment& allotment,
                                                        std::size_t nodes) {
  const auto found = this->accounts.find(id);
  if (found != this->accounts.end()) {
    return found->second;
  }
  if (this->accounts.size() >= this->settings.max_accounts) {
    this->accounts.clear();
  }
  Account& added = this->accounts[id];
  constexpr std::uint64_t kSteps = 1 << 20;
  added.admission_sum = static_cast<double>(this->random.NextBelow(kSteps)) / kSteps;
  // A whole request at each of many nodes would exceed the allotment of a small account.
  added.local_level = std::min(allotment.burst * this->LocalPart(nodes), 1.0);
  added.local_updated_at = this->clock.Now();
  return added;
}

}  // namespace masticpin
