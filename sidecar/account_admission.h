#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "masticpin/accounts/account_fairness.h"
#include "masticpin/accounts/allotment_limiter.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/routing/client_account.h"
#include "masticpin/routing/routing_configuration.h"
#include "sidecar/allotment_exchange.h"

namespace masticpin {

/// Decides about the requests of client accounts at the node where they enter: whether the
/// allotment of the account covers them, and their order among the requests of other accounts.
class AccountAdmission {
 public:
  /// `local_upstream` is the address of the local instance. All arguments must outlive the object.
  AccountAdmission(boost::asio::io_context& loop,
                   const Clock& clock,
                   TimerService& timers,
                   RandomSource& random,
                   AllotmentExchangeObserver& observer,
                   const SocketAddress& local_upstream,
                   const AllotmentTolerance& tolerance);

  /// Starts to exchange reports with other nodes at `address`; without an address, each node admits
  /// an equal share of each allotment. Returns an error message, or an empty string on success.
  std::string Listen(const std::optional<SocketAddress>& address);

  void SetConfiguration(const RoutingConfiguration& configuration) {
    this->exchange.SetConfiguration(configuration, this->tolerance);
  }

  /// Must observe the directory of instances, whose nodes share the allotments.
  InstanceDirectoryObserver& DirectoryObserver() { return this->exchange; }

  /// Decides whether the allotment of the account covers a request. If the owner of the allotment
  /// is asked, the decision is passed to `waiter`, possibly before this returns.
  AllotmentDecision Decide(const ClientAccount& account, AllotmentWaiter& waiter);

  /// Gives back the place of a request that has certainly not run.
  void Refund(const ClientAccount& account);

  /// Time after which a request that was refused has a fair chance.
  Duration RetryAfter(const ClientAccount& account) const;

  /// Returns the rank of a request; `position` is a hash of its id.
  std::uint16_t Rank(const ClientAccount& account, std::uint16_t position);

  const AllotmentExchange& Exchange() const { return this->exchange; }

 private:
  /// What nodes admit of the account's allotment.
  Allotment AllotmentOf(const ClientAccount& account) const;

  AllotmentLimiter limiter;
  AccountFairness fairness;
  const AllotmentTolerance tolerance;
  AllotmentExchange exchange;
  bool exchange_enabled = false;
};

}  // namespace masticpin
