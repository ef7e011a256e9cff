#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticpin/accounts/allotment.h"
#include "masticpin/accounts/allotment_decision.h"
#include "masticpin/accounts/allotment_report.h"
#include "masticpin/accounts/allotment_share.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"

namespace masticpin {

struct AllotmentLimiterSettings {
  /// Time from the first unreported request of an account to its report.
  Duration report_interval = std::chrono::milliseconds(200);
  /// Minimum time between two reports of an account. It bounds the datagrams of an account whose
  /// load jumps.
  Duration min_report_interval = std::chrono::milliseconds(10);
  /// Time for which a share is valid. A node with fewer requests of an account than one in this
  /// time asks the owner about each of them.
  Duration share_lifetime = std::chrono::seconds(1);
  /// Rate, in requests per second, below which the owner decides about each request: the nodes
  /// would admit too many before they know of a jump, and a share of few requests is too uneven.
  double min_rate_for_shares = 20;
  /// Time after which an account without an owner is reported again.
  Duration retry_interval = std::chrono::milliseconds(1000);
  /// Share of its equal part that a node admits while no candidate answers. The nodes that still
  /// reach the owner use the whole allotment meanwhile.
  double isolated_share = 0.6;
  /// Accounts without requests are forgotten after this time.
  Duration idle_timeout = std::chrono::seconds(10);
  /// Maximum number of accounts. When it is reached, all are discarded.
  std::size_t max_accounts = 100'000;
};

/// Decides at one node which requests of client accounts with an allotment are admitted. Admits the
/// share that the owner of the allotment has determined, and asks the owner if it knows none.
/// Without an owner, admits what an equal division between all nodes allows. Not thread-safe.
class AllotmentLimiter {
 public:
  using Settings = AllotmentLimiterSettings;

  /// `clock` and `random` must outlive the limiter.
  AllotmentLimiter(const Clock& clock, RandomSource& random, Settings settings = {})
      : clock(clock), random(random), settings(settings) {}

  /// Whether nodes exchange reports. Otherwise each node gets an equal share.
  void SetExchange(bool enabled) { this->exchange_enabled = enabled; }

  /// Decides about a request. `nodes` is the number of nodes that share the allotment. A request
  /// that is asked about must later be answered by OnShare() or decided by DecideLocally().
  AllotmentDecision Decide(std::uint64_t account, const Allotment& allotment, std::size_t nodes);

  /// Withdraws the question of a request that waits and whose question was not sent.
  void WithdrawQuestion(std::uint64_t account);

  /// Number of requests whose question was not sent.
  std::uint32_t UnsentQuestions(std::uint64_t account) const;

  /// Decides about a request whose question was not answered in time.
  bool DecideLocally(std::uint64_t account, const Allotment& allotment, std::size_t nodes);

  /// Gives back the place of a request that was admitted and has certainly not run.
  void Refund(std::uint64_t account);

  /// Time after which a refused caller has a fair chance, as told by the owner; without one, the
  /// time in which this node earns a place.
  Duration RetryAfter(std::uint64_t account, const Allotment& allotment, std::size_t nodes) const;

  /// Requests per second that all nodes together were offered, or std::nullopt if unknown.
  std::optional<double> OfferedPerSecond(std::uint64_t account) const;

  /// Whether the account must be reported now.
  bool IsReportDue(std::uint64_t account) const;

  /// Accounts that must be reported now.
  std::vector<std::uint64_t> DueAccounts() const;

  /// Whether there is anything to report, or a report waits for its answer.
  bool HasWork() const;

  /// Takes the unreported requests of an account.
  AllotmentReport TakeReport(std::uint64_t account);

  /// Records the answer to a report.
  void OnShare(std::uint64_t account, const AllotmentShare& share);

  /// Records that a report was not answered in time: its requests are reported again.
  void OnReportLost(const AllotmentReport& report);

  /// Records that nobody holds the allotment of a reported account: the node admits its equal part
  /// until an owner answers.
  void OnNoOwner(std::uint64_t account, const Allotment& allotment, std::size_t nodes);

  /// Forgets accounts without recent requests.
  void RemoveIdle();

  std::size_t Size() const { return this->accounts.size(); }

 private:
  struct Account {
    /// The last answer of an owner, and when it came.
    std::optional<AllotmentShare> share;
    TimePoint share_at{};
    /// Sum of the shares of the offered requests; each whole number admits one. Begins at random,
    /// so that the nodes do not refuse their first requests together.
    double admission_sum = 0;
    std::uint32_t offered = 0;
    std::int32_t admitted = 0;
    std::uint32_t asked = 0;
    /// Number of admitted requests after which a report is due at once: the node's part of what the
    /// allotment allows in one report interval.
    double admitted_before_report = 1;
    TimePoint unreported_since{};
    TimePoint reported_at{};
    bool report_in_progress = false;
    /// Whether nobody holds the allotment.
    bool isolated = false;
    TimePoint isolated_since{};
    /// Bucket of the equal share.
    double local_level = 0;
    TimePoint local_updated_at{};
    TimePoint used_at{};

    bool HasReport() const { return this->offered > 0 || this->admitted != 0 || this->asked > 0; }
  };

  Account& GetAccount(std::uint64_t account, const Allotment& allotment, std::size_t nodes);
  /// Part of an allotment that the node admits without an owner.
  double LocalPart(std::size_t nodes) const;
  bool TakeLocalToken(Account& account, const Allotment& allotment, std::size_t nodes) const;
  bool IsShareValid(const Account& account, TimePoint now) const;
  bool IsReportDue(const Account& account, TimePoint now) const;
  void OnUnreported(Account& account, TimePoint now) const;

  const Clock& clock;
  RandomSource& random;
  const Settings settings;
  bool exchange_enabled = true;
  std::unordered_map<std::uint64_t, Account> accounts;
};

}  // namespace masticpin
