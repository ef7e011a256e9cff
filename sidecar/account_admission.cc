#include "sidecar/account_admission.h"

#include <algorithm>

#include "masticpin/accounts/account_id.h"

namespace masticpin {
AccountAdmission::AccountAdmission(boost::asio::io_context& loop,
                                   const Clock& clock,
                                   TimerService& timers,
                                   RandomSource& random,
                                   AllotmentExchangeObserver& observer,
                                   const SocketAddress& local_upstream,
                                   const AllotmentTolerance& tolerance)
    : limiter(clock, random),
      fairness(clock),
      tolerance(tolerance),
      exchange(loop, clock, timers, random, this->limiter, observer, local_upstream) {
  this->limiter.SetExchange(false);
}

Allotment AccountAdmission::AllotmentOf(const ClientAccount& account) const {
  return this->tolerance.Apply({account.rate_per_second, account.burst});
}

std::string AccountAdmission::Listen(const std::optional<SocketAddress>& address) {
  if (!address) {
    return "";
  }
  this->exchange_enabled = true;
  this->limiter.SetExchange(true);
  return this->exchange.Listen(*address);
}

AllotmentDecision AccountAdmission::Decide(const ClientAccount& account, AllotmentWaiter& waiter) {
  if (account.rate_per_second <= 0) {
    return AllotmentDecision::kAdmitted;
  }
  const std::uint64_t id = AccountId(account.name);
  const AllotmentDecision decision =
      this->limiter.Decide(id, AllotmentOf(account), this->exchange.NodeCount());
  if (decision == AllotmentDecision::kAsked) {
    this->exchange.Wait(id, waiter);
  }
  if (this->exchange_enabled) {
    this->exchange.OnRequest(id);
  }
  return decision;
}

void AccountAdmission::Refund(const ClientAccount& account) {
  if (account.rate_per_second <= 0) {
    return;
  }
  const std::uint64_t id = AccountId(account.name);
  this->limiter.Refund(id);
  if (this->exchange_enabled) {
    this->exchange.OnRequest(id);
  }
}

Duration AccountAdmission::RetryAfter(const ClientAccount& account) const {
  return this->limiter.RetryAfter(AccountId(account.name), AllotmentOf(account),
                                  this->exchange.NodeCount());
}

std::uint16_t AccountAdmission::Rank(const ClientAccount& account, std::uint16_t position) {
  const std::uint64_t id = AccountId(account.name);
  const std::optional<double> offered = this->limiter.OfferedPerSecond(id);
  // What is beyond the allotment was refused at the entry.
  const double relative_demand = offered && account.rate_per_second > 0
                                     ? std::min(*offered / account.rate_per_second, 1.0)
                                     : 1.0;
  return this->fairness.Rank(id, relative_demand, position);
}

}  // namespace masticpin
