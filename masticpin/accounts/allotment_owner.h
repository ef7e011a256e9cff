#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "masticpin/accounts/allotment.h"
#include "masticpin/accounts/allotment_bucket_state.h"
#include "masticpin/accounts/allotment_report.h"
#include "masticpin/accounts/allotment_share.h"
#include "masticpin/base/clock.h"

namespace masticpin {

struct AllotmentOwnerSettings {
  /// Time in which a debt of the account is repaid, and over which its unused burst is spread. It
  /// must be well below the 5 s over which operators check an allotment.
  Duration horizon = std::chrono::seconds(1);
  /// Time constant of the average of the offered rate. Nodes report five times a second.
  Duration rate_time_constant = std::chrono::milliseconds(500);
  /// Time from the first report to a share that is valid: twice the time constant. Before that, the
  /// owner decides about each request.
  Duration settling_time = std::chrono::seconds(1);
  /// Part of the burst that a new bucket contains, in requests and in seconds of the rate. The
  /// previous owner may have spent the rest.
  double initial_level = 5;
  double initial_level_seconds = 0.25;
  /// Maximum debt, in seconds of the rate. Without it, wrong reports could block an account for
  /// long.
  double max_debt_seconds = 3;
  /// Time without reports after which the average of the offered rate is not valid.
  Duration max_report_gap = std::chrono::seconds(1);
  /// Accounts without reports are forgotten after this time. Their burst is then lost.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Maximum number of accounts. When it is reached, all are discarded.
  std::size_t max_accounts = 100'000;
};

/// Holds the allotments of client accounts on behalf of all nodes: a token bucket for each account,
/// which counts what nodes report that they admitted. Answers each report with the share of
/// requests that every node admits, so that the sum over all nodes meets the allotment however the
/// load is spread, and decides about the requests of nodes that do not know a share. Not
/// thread-safe.
class AllotmentOwner {
 public:
  using Settings = AllotmentOwnerSettings;

  /// `clock` must outlive the owner.
  explicit AllotmentOwner(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  /// Records what a node was offered and admitted, and decides about the requests that wait there.
  AllotmentShare OnReport(const AllotmentReport& report, const Allotment& allotment);

  /// Takes an account over from another owner. If this owner has a bucket of the account, too, what
  /// the other one admitted is taken from it, but not below the lower of both levels: both buckets
  /// earned the same tokens.
  void TakeOver(std::uint64_t account, const AllotmentBucketState& other);

  /// Forgets an account that another owner has taken over.
  void Release(std::uint64_t account) { this->accounts.erase(account); }

  /// Calls `visit` with each account that nodes report at present, and its bucket.
  template <typename Visitor>
  void ForEachReported(const Visitor& visit) const {
    const TimePoint now = this->clock.Now();
    for (const auto& [id, account] : this->accounts) {
      if (now - account.updated_at < this->settings.max_report_gap) {
        visit(id, AllotmentBucketState{account.level, account.admitted});
      }
    }
  }

  /// Forgets accounts without recent reports.
  void RemoveIdle();

  std::size_t Size() const { return this->accounts.size(); }

 private:
  struct Account {
    /// Tokens in the bucket. Negative if nodes admitted more before they knew the share.
    double level = 0;
    /// Requests admitted since the account was added.
    double admitted = 0;
    double offered_per_second = 0;
    TimePoint created_at{};
    TimePoint updated_at{};
  };

  Account& GetAccount(std::uint64_t id, const Allotment& allotment);
  /// Adds an account with a bucket of this level.
  Account& AddAccount(std::uint64_t id, double level);
  /// Adds the tokens and ages the average since the last update.
  void Advance(Account& account, const Allotment& allotment, TimePoint now) const;

  const Clock& clock;
  const Settings settings;
  std::unordered_map<std::uint64_t, Account> accounts;
};

}  // namespace masticpin
