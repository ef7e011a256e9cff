#include "sidecar/allotment_exchange.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cassert>
#include <cmath>
#include <utility>

#include "masticpin/accounts/account_id.h"
#include "masticpin/base/received_duration.h"

namespace masticpin {
namespace {

/// Interval at which reports are sent and answers are awaited while there are any.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// Time after which a report without an answer is lost. Links between availability zones take a
/// few milliseconds.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);

/// The same while requests wait for answers; their questions are sent at most this often.
constexpr Duration kQuestionTickInterval = std::chrono::milliseconds(10);

/// Maximum time for which a request waits for the owner's decision: two lost reports, and some time
/// for the next candidate. It is above the pause of a node whose processor time is limited.
constexpr Duration kMaxWait = std::chrono::milliseconds(250);

/// Interval at which accounts without requests are forgotten.
constexpr Duration kIdleRemovalInterval = std::chrono::seconds(5);

/// Maximum number of accounts in one datagram; each takes at most 38 bytes.
constexpr std::size_t kMaxAccountsPerDatagram = 30;

constexpr double kShareScale = 1e6;
constexpr double kRateScale = 1e3;
constexpr double kLevelScale = 1e3;

void EncodeShare(std::uint64_t account,
                 const AllotmentShare& share,
                 wire::AllotmentShare& encoded) {
  encoded.set_account(account);
  encoded.set_settled(share.settled);
  encoded.set_granted(share.granted);
  encoded.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(share.retry_after).count()));
  encoded.set_admitted_share(static_cast<std::uint32_t>(share.admitted_share * kShareScale));
  encoded.set_offered_per_second(static_cast<std::uint64_t>(share.offered_per_second * kRateScale));
}

/// Decodes the answer to `report`.
AllotmentShare DecodeShare(const AllotmentReport& report, const wire::AllotmentShare& encoded) {
  AllotmentShare share;
  share.admitted_share = std::min(encoded.admitted_share() / kShareScale, 1.0);
  share.offered_per_second = static_cast<double>(encoded.offered_per_second()) / kRateScale;
  share.settled = encoded.settled();
  share.granted = std::min(encoded.granted(), report.asked);
  share.retry_after = ReceivedDuration<std::chrono::milliseconds>(encoded.retry_after_ms());
  return share;
}

bool Contains(const google::protobuf::RepeatedField<std::uint64_t>& accounts,
              std::uint64_t account) {
  return std::find(accounts.begin(), accounts.end(), account) != accounts.end();
}

}  // namespace

AllotmentExchange::AllotmentExchange(boost::asio::io_context& loop,
                                     const Clock& clock,
                                     TimerService& timers,
                                     RandomSource& random,
                                     AllotmentLimiter& limiter,
                                     AllotmentExchangeObserver& observer,
                                     SocketAddress local_upstream)
    : clock(clock),
      timers(timers),
      limiter(limiter),
      observer(observer),
      local_upstream(std::move(local_upstream)),
      owner(clock),
      tenure(clock),
      directory(clock),
      socket(new DatagramSocket(loop, *this)),
      next_number(static_cast<std::uint32_t>(random.Next() >> 34) + 1) {}

AllotmentExchange::~AllotmentExchange() {
  this->socket->Close();
}

std::string AllotmentExchange::Listen(const SocketAddress& address) {
  this->port = address.port;
  return this->socket->Open(address);
}

void AllotmentExchange::SetConfiguration(const RoutingConfiguration& configuration,
                                         const AllotmentTolerance& tolerance) {
  this->configuration_version = configuration.Version();
  this->tenure.OnConfigured();
  this->allotments.clear();
  if (!configuration.RequiresKeys()) {
    return;
  }
  for (const ClientAccount& account : configuration.Accounts()->Accounts()) {
    if (account.rate_per_second > 0) {
      this->allotments[AccountId(account.name)] =
          tolerance.Apply({account.rate_per_second, account.burst});
    }
  }
}

void AllotmentExchange::Wait(std::uint64_t account, AllotmentWaiter& waiter) {
  waiter.waiting_since = this->clock.Now();
  this->waiters[account].push_back(waiter);
}

void AllotmentExchange::OnRequest(std::uint64_t account) {
  if (this->limiter.IsReportDue(account)) {
    this->Report({account});
  }
  this->ScheduleTick(this->clock.Now());
}

void AllotmentExchange::ScheduleTick(TimePoint now) {
  const Duration interval = this->waiters.empty() ? kTickInterval : kQuestionTickInterval;
  if (!this->is_linked() || this->Due() > now + interval) {
    this->timers.Schedule(*this, now + interval);
  }
}

void AllotmentExchange::OnTimer(TimePoint now) {
  this->ExpireReports(now);
  this->ExpireWaiters(now);
  this->Report(this->limiter.DueAccounts());
  if (this->owner.Size() > 0 && this->tenure.TryStartClaims()) {
    this->ClaimAccounts();
  }
  if (now - this->idle_removed_at >= kIdleRemovalInterval) {
    this->idle_removed_at = now;
    this->limiter.RemoveIdle();
    this->owner.RemoveIdle();
    this->tenure.RemoveExpired();
    this->directory.RemoveExpired();
  }
  if (!this->sent.empty() || !this->waiters.empty() || this->limiter.HasWork()) {
    this->ScheduleTick(now);
  } else if (this->limiter.Size() + this->owner.Size() > 0) {
    this->timers.Schedule(*this, now + kIdleRemovalInterval);
  }
}

void AllotmentExchange::Report(const std::vector<std::uint64_t>& accounts) {
  std::map<std::string, std::vector<AllotmentReport>> reports_by_owner;
  for (const std::uint64_t account : accounts) {
    const std::string instance = this->OwnerOf(account);
    const AllotmentReport report = this->limiter.TakeReport(account);
    if (instance.empty()) {
      this->DecideWithoutOwner(account);
    } else {
      reports_by_owner[instance].push_back(report);
    }
  }
  for (auto& [instance, reports] : reports_by_owner) {
    for (std::size_t i = 0; i < reports.size(); i += kMaxAccountsPerDatagram) {
      const std::size_t count = std::min(kMaxAccountsPerDatagram, reports.size() - i);
      this->SendReports(instance, {reports.begin() + static_cast<std::ptrdiff_t>(i),
                                   reports.begin() + static_cast<std::ptrdiff_t>(i + count)});
    }
  }
}

std::string AllotmentExchange::OwnerOf(std::uint64_t account) {
  const std::string instance = this->directory.OwnerOf(account);
  if (!this->IsLocal(instance) || this->tenure.MayOwn(account)) {
    return instance;
  }
  if (this->tenure.HasHandedOver(account)) {
    this->directory.OnHandedOver(account, instance);
  } else {
    this->directory.OnDeclined(account, instance);
  }
  return this->directory.OwnerOf(account);
}

bool AllotmentExchange::IsLocal(std::string_view instance) const {
  const SocketAddress* address = this->directory.AddressOf(instance);
  return address != nullptr && *address == this->local_upstream;
}

boost::asio::ip::udp::endpoint AllotmentExchange::EndpointOf(std::string_view instance) const {
  const SocketAddress* address = this->directory.AddressOf(instance);
  assert(address != nullptr);
  return {boost::asio::ip::make_address(address->ip), this->port};
}

void AllotmentExchange::DecideWithoutOwner(std::uint64_t account) {
  const Allotment* allotment = this->FindAllotment(account);
  if (allotment != nullptr) {
    this->limiter.OnNoOwner(account, *allotment, this->NodeCount());
  }
  for (auto found = this->waiters.find(account);
       found != this->waiters.end() && !found->second.empty();
       found = this->waiters.find(account)) {
    AllotmentWaiter& waiter = found->second.front();
    found->second.pop_front();
    this->DecideLocally(account, waiter);
  }
}

void AllotmentExchange::DecideLocally(std::uint64_t account, AllotmentWaiter& waiter) {
  const Allotment* allotment = this->FindAllotment(account);
  waiter.OnAllotmentDecision(allotment == nullptr ||
                             this->limiter.DecideLocally(account, *allotment, this->NodeCount()));
}

void AllotmentExchange::SendReports(const std::string& instance,
                                    std::vector<AllotmentReport> reports) {
  if (this->IsLocal(instance)) {
    for (const AllotmentReport& report : reports) {
      const std::optional<AllotmentShare> share =
          this->AnswerReport(report, this->configuration_version);
      assert(share);  // OwnerOf() returned this node.
      this->OnShare(report, *share);
    }
    return;
  }
  const std::uint32_t number = this->next_number++;
  SentReports& sent_reports = this->sent[number];
  sent_reports.sent_at = this->clock.Now();
  sent_reports.instance = instance;
  sent_reports.receiver = this->EndpointOf(instance);
  wire::AllotmentDatagram datagram;
  datagram.set_number(number);
  for (const AllotmentReport& report : reports) {
    wire::AllotmentReport& encoded = *datagram.add_reports();
    encoded.set_account(report.account);
    encoded.set_offered(report.offered);
    encoded.set_admitted(report.admitted);
    encoded.set_asked(report.asked);
  }
  sent_reports.reports = std::move(reports);
  this->Send(datagram, sent_reports.receiver);
}

void AllotmentExchange::Send(const wire::AllotmentDatagram& datagram,
                             const boost::asio::ip::udp::endpoint& receiver) {
  wire::AllotmentDatagram complete = datagram;
  complete.set_configuration_version(this->configuration_version);
  ++this->statistics.datagrams_sent;
  this->socket->Send(complete.SerializeAsString(), receiver);
}

void AllotmentExchange::OnDatagram(std::string_view bytes,
                                   const boost::asio::ip::udp::endpoint& sender) {
  wire::AllotmentDatagram datagram;
  if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    spdlog::debug("event=datagram_unreadable bytes={}", bytes.size());
    return;
  }
  ++this->statistics.datagrams_received;
  this->observer.OnPeerConfigurationVersion(datagram.configuration_version());
  if (datagram.number() != 0) {
    this->AnswerReports(datagram, sender);
  }
  if (datagram.reply_to() != 0) {
    this->ApplyShares(datagram, sender);
  }
  if (datagram.claims_size() > 0) {
    this->AnswerClaims(datagram, sender);
  }
  this->OnTakenOver(datagram);
}

std::optional<AllotmentShare> AllotmentExchange::AnswerReport(const AllotmentReport& report,
                                                              std::uint64_t version) {
  const Allotment* allotment = this->FindAllotment(report.account);
  if (!this->tenure.MayOwn(report.account) ||
      (allotment == nullptr && this->configuration_version < version)) {
    return std::nullopt;
  }
  if (allotment == nullptr) {
    // In the configuration of this node, which is not older, the account has no limit.
    AllotmentShare unlimited;
    unlimited.settled = false;
    unlimited.granted = report.asked;
    return unlimited;
  }
  return this->owner.OnReport(report, *allotment);
}

void AllotmentExchange::AnswerReports(const wire::AllotmentDatagram& datagram,
                                      const boost::asio::ip::udp::endpoint& sender) {
  wire::AllotmentDatagram answer;
  answer.set_reply_to(datagram.number());
  for (const wire::AllotmentReport& report : datagram.reports()) {
    const std::optional<AllotmentShare> share =
        this->AnswerReport({report.account(), report.offered(), report.admitted(), report.asked()},
                           datagram.configuration_version());
    if (share) {
      EncodeShare(report.account(), *share, *answer.add_shares());
    } else if (this->tenure.HasHandedOver(report.account())) {
      answer.add_handed_over(report.account());
    } else {
      answer.add_declined(report.account());
    }
  }
  this->Send(answer, sender);
  this->ScheduleTick(this->clock.Now());
}

void AllotmentExchange::ApplyShares(const wire::AllotmentDatagram& datagram,
                                    const boost::asio::ip::udp::endpoint& sender) {
  const auto found = this->sent.find(datagram.reply_to());
  if (found == this->sent.end() || found->second.receiver != sender) {
    return;  // It came too late; the reports were sent again.
  }
  const SentReports answered = std::move(found->second);
  this->sent.erase(found);
  this->directory.OnAnswer(answered.instance);
  for (const AllotmentReport& report : answered.reports) {
    const auto share = std::find_if(
        datagram.shares().begin(), datagram.shares().end(),
        [&](const wire::AllotmentShare& item) { return item.account() == report.account; });
    if (share != datagram.shares().end()) {
      this->OnShare(report, DecodeShare(report, *share));
      continue;
    }
    if (Contains(datagram.handed_over(), report.account)) {
      this->directory.OnHandedOver(report.account, answered.instance);
      this->ReportElsewhere(report);
    } else if (Contains(datagram.declined(), report.account)) {
      this->directory.OnDeclined(report.account, answered.instance);
      this->ReportElsewhere(report);
    } else {
      this->OnReportLost(report);
    }
  }
}

void AllotmentExchange::ReportElsewhere(const AllotmentReport& report) {
  this->OnReportLost(report);
  if (this->limiter.IsReportDue(report.account)) {
    this->Report({report.account});
  }
}

void AllotmentExchange::OnReportLost(const AllotmentReport& report) {
  // Requests whose callers left do not wait any more.
  AllotmentReport again = report;
  const auto found = this->waiters.find(report.account);
  const std::size_t waiting = found == this->waiters.end() ? 0 : found->second.size();
  again.asked = static_cast<std::uint32_t>(std::min<std::size_t>(report.asked, waiting));
  this->limiter.OnReportLost(again);
}

void AllotmentExchange::ClaimAccounts() {
  std::map<std::string, std::vector<wire::AllotmentClaim>> claims_by_candidate;
  this->owner.ForEachReported([&](std::uint64_t account, const AllotmentBucketState& bucket) {
    const std::string& first = this->directory.CandidatesOf(account)[0];
    if (first.empty() || this->IsLocal(first)) {
      return;
    }
    wire::AllotmentClaim claim;
    claim.set_account(account);
    claim.set_level(std::llround(bucket.level * kLevelScale));
    claim.set_admitted(static_cast<std::uint64_t>(std::max(bucket.admitted, 0.0)));
    claims_by_candidate[first].push_back(claim);
  });
  for (const auto& [instance, claims] : claims_by_candidate) {
    for (std::size_t i = 0; i < claims.size(); i += kMaxAccountsPerDatagram) {
      wire::AllotmentDatagram datagram;
      const std::size_t end = std::min(i + kMaxAccountsPerDatagram, claims.size());
      for (std::size_t j = i; j < end; ++j) {
        *datagram.add_claims() = claims[j];
      }
      this->Send(datagram, this->EndpointOf(instance));
    }
  }
}

void AllotmentExchange::AnswerClaims(const wire::AllotmentDatagram& datagram,
                                     const boost::asio::ip::udp::endpoint& sender) {
  wire::AllotmentDatagram answer;
  for (const wire::AllotmentClaim& claim : datagram.claims()) {
    // With another list of instances, the other node remains the owner until the lists agree.
    if (!this->IsLocal(this->directory.CandidatesOf(claim.account())[0]) ||
        this->FindAllotment(claim.account()) == nullptr) {
      continue;
    }
    spdlog::info("event=allotment_taken_over account={} from={}", claim.account(),
                 sender.address().to_string());
    this->owner.TakeOver(claim.account(), {static_cast<double>(claim.level()) / kLevelScale,
                                           static_cast<double>(claim.admitted())});
    this->tenure.OnTakenOver(claim.account());
    this->directory.OnTakenOver(claim.account());
    answer.add_taken_over(claim.account());
  }
  if (answer.taken_over_size() > 0) {
    this->Send(answer, sender);
    this->ScheduleTick(this->clock.Now());
  }
}

void AllotmentExchange::OnTakenOver(const wire::AllotmentDatagram& datagram) {
  for (const std::uint64_t account : datagram.taken_over()) {
    const OwnerDirectory::Candidates& candidates = this->directory.CandidatesOf(account);
    if (candidates[0].empty() || this->IsLocal(candidates[0])) {
      continue;  // The other node knows other instances.
    }
    this->owner.Release(account);
    this->tenure.OnHandedOver(account);
    this->directory.OnAnswer(candidates[0]);
  }
}

void AllotmentExchange::OnShare(const AllotmentReport& report, const AllotmentShare& share) {
  this->limiter.OnShare(report.account, share);
  std::uint32_t granted = share.granted;
  for (std::uint32_t answered = 0; answered < report.asked; ++answered) {
    // A decision may start other requests of the account.
    const auto found = this->waiters.find(report.account);
    if (found == this->waiters.end() || found->second.empty()) {
      break;
    }
    AllotmentWaiter& waiter = found->second.front();
    found->second.pop_front();
    const bool admitted = granted > 0;
    granted -= admitted ? 1 : 0;
    waiter.OnAllotmentDecision(admitted);
  }
  const auto found = this->waiters.find(report.account);
  if (found != this->waiters.end() && found->second.empty()) {
    this->waiters.erase(found);
  }
  // The callers of these requests have left.
  for (; granted > 0; --granted) {
    this->limiter.Refund(report.account);
  }
}

void AllotmentExchange::ExpireWaiters(TimePoint now) {
  std::vector<std::uint64_t> accounts;
  for (const auto& [account, list] : this->waiters) {
    accounts.push_back(account);
  }
  for (const std::uint64_t account : accounts) {
    auto found = this->waiters.find(account);
    while (found != this->waiters.end() && !found->second.empty() &&
           now - found->second.front().waiting_since >= kMaxWait) {
      // The questions of the requests that wait longest were sent first.
      if (found->second.size() <= this->limiter.UnsentQuestions(account)) {
        this->limiter.WithdrawQuestion(account);
      }
      AllotmentWaiter& waiter = found->second.front();
      found->second.pop_front();
      this->DecideLocally(account, waiter);
      found = this->waiters.find(account);
    }
    if (found != this->waiters.end() && found->second.empty()) {
      this->waiters.erase(found);
    }
  }
}

void AllotmentExchange::ExpireReports(TimePoint now) {
  // The numbers rise with the time of sending.
  while (!this->sent.empty() && now - this->sent.begin()->second.sent_at >= kAnswerTimeout) {
    const SentReports lost = std::move(this->sent.begin()->second);
    this->sent.erase(this->sent.begin());
    ++this->statistics.reports_lost;
    this->directory.OnLost(lost.instance);
    for (const AllotmentReport& report : lost.reports) {
      this->OnReportLost(report);
    }
  }
}

const Allotment* AllotmentExchange::FindAllotment(std::uint64_t account) const {
  const auto found = this->allotments.find(account);
  return found == this->allotments.end() ? nullptr : &found->second;
}

void AllotmentExchange::OnInstanceUpdated(const UpstreamInstance& instance) {
  this->directory.AddInstance(instance.name, instance.address);
}

void AllotmentExchange::OnInstanceRemoved(std::string_view name) {
  this->directory.RemoveInstance(name);
}

}  // namespace masticpin
