#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/accounts/allotment_limiter.h"
#include "masticpin/accounts/allotment_owner.h"
#include "masticpin/accounts/allotment_tolerance.h"
#include "masticpin/accounts/owner_directory.h"
#include "masticpin/accounts/owner_tenure.h"
#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/routing/instance_directory_observer.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/wire/allotment.pb.h"
#include "sidecar/allotment_exchange_observer.h"
#include "sidecar/allotment_waiter.h"
#include "sidecar/datagram_socket.h"

namespace masticpin {

struct AllotmentExchangeStatistics {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  /// Datagrams with reports that were not answered in time.
  std::uint64_t reports_lost = 0;
};

/// Exchanges reports and shares of allotments with the nodes that own them, in datagrams: they need
/// no connections to the many nodes that own some account, and a late report is worth nothing.
class AllotmentExchange : public InstanceDirectoryObserver,
                          private DatagramSocketObserver,
                          private TimerSubscriber {
 public:
  /// `local_upstream` is the address of the local instance, by which this node recognises the
  /// accounts that it owns itself. All arguments must outlive the exchange.
  AllotmentExchange(boost::asio::io_context& loop,
                    const Clock& clock,
                    TimerService& timers,
                    RandomSource& random,
                    AllotmentLimiter& limiter,
                    AllotmentExchangeObserver& observer,
                    SocketAddress local_upstream);
  ~AllotmentExchange() override;

  /// Starts to exchange datagrams at `address`; the nodes of all instances use the same port.
  /// Returns an error message, or an empty string on success.
  std::string Listen(const SocketAddress& address);

  /// Applies the allotments of a configuration, with the tolerance that nodes may use.
  void SetConfiguration(const RoutingConfiguration& configuration,
                        const AllotmentTolerance& tolerance);

  /// Makes `waiter` wait for the decision of the account's owner. OnRequest() must follow, which
  /// sends the question.
  void Wait(std::uint64_t account, AllotmentWaiter& waiter);

  /// Called after the limiter was offered a request, or got a place back.
  void OnRequest(std::uint64_t account);

  /// Number of nodes that share the allotments.
  std::size_t NodeCount() const { return this->directory.Size(); }

  const AllotmentExchangeStatistics& Statistics() const { return this->statistics; }
  /// Number of accounts that this node owns.
  std::size_t OwnedAccounts() const { return this->owner.Size(); }

  void OnInstanceUpdated(const UpstreamInstance& instance) override;
  void OnInstanceRemoved(std::string_view name) override;

 private:
  /// Reports that were sent in one datagram and are not answered yet.
  struct SentReports {
    TimePoint sent_at{};
    std::string instance;
    boost::asio::ip::udp::endpoint receiver;
    std::vector<AllotmentReport> reports;
  };
  void OnDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint& sender) override;
  void OnTimer(TimePoint now) override;

  /// Reports these accounts to their owners.
  void Report(const std::vector<std::uint64_t>& accounts);
  /// Sends reports to the node of an instance, or handles them here if it is the local one.
  void SendReports(const std::string& instance, std::vector<AllotmentReport> reports);
  /// Answers a report as the owner of its account, or returns std::nullopt if this node does not
  /// own it. `version` is that of the sender's configuration.
  std::optional<AllotmentShare> AnswerReport(const AllotmentReport& report, std::uint64_t version);
  /// Answers the reports of another node.
  void AnswerReports(const wire::AllotmentDatagram& datagram,
                     const boost::asio::ip::udp::endpoint& sender);
  void ApplyShares(const wire::AllotmentDatagram& datagram,
                   const boost::asio::ip::udp::endpoint& sender);
  /// Has the limiter report the requests of a report again.
  void OnReportLost(const AllotmentReport& report);
  /// Reports an account again at once, after its owner was found to be another one.
  void ReportElsewhere(const AllotmentReport& report);
  /// Claims the accounts that this node owns and whose first candidate is another one.
  void ClaimAccounts();
  /// Takes over the accounts that another node claims and that belong to this one.
  void AnswerClaims(const wire::AllotmentDatagram& datagram,
                    const boost::asio::ip::udp::endpoint& sender);
  /// Hands over the accounts that another node has taken over.
  void OnTakenOver(const wire::AllotmentDatagram& datagram);
  /// Gives up the reports that were not answered in time.
  void ExpireReports(TimePoint now);
  void ScheduleTick(TimePoint now);
  /// Passes the answer to a report on to the limiter and to the requests that wait for it.
  void OnShare(const AllotmentReport& report, const AllotmentShare& share);
  /// Decides about the requests that have waited too long.
  void ExpireWaiters(TimePoint now);
  const Allotment* FindAllotment(std::uint64_t account) const;
  /// Returns the instance whose node owns the account, or an empty name if there is none.
  std::string OwnerOf(std::uint64_t account);
  bool IsLocal(std::string_view instance) const;
  /// Endpoint of the node of a known instance.
  boost::asio::ip::udp::endpoint EndpointOf(std::string_view instance) const;
  /// Lets the node decide about an account that nobody holds.
  void DecideWithoutOwner(std::uint64_t account);
  void DecideLocally(std::uint64_t account, AllotmentWaiter& waiter);
  void Send(const wire::AllotmentDatagram& datagram,
            const boost::asio::ip::udp::endpoint& receiver);

  const Clock& clock;
  TimerService& timers;
  AllotmentLimiter& limiter;
  AllotmentExchangeObserver& observer;
  const SocketAddress local_upstream;
  AllotmentOwner owner;
  OwnerTenure tenure;
  OwnerDirectory directory;
  Ref<DatagramSocket> socket;
  std::uint16_t port = 0;

  std::unordered_map<std::uint64_t, Allotment> allotments;
  std::uint64_t configuration_version = 0;

  std::unordered_map<std::uint64_t, AllotmentWaiterList> waiters;
  std::map<std::uint32_t, SentReports> sent;
  std::uint32_t next_number;
  TimePoint idle_removed_at{};
  AllotmentExchangeStatistics statistics;
};

}  // namespace masticpin
