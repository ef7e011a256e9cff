#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/socket_address.h"

namespace masticpin {

struct OwnerDirectorySettings {
  /// Number of lost reports in a row after which the next candidate is asked.
  int max_losses = 2;
  /// Time for which a silent candidate is not asked; doubles up to the maximum.
  Duration min_silence = std::chrono::seconds(1);
  Duration max_silence = std::chrono::seconds(5);
  /// Time for which a candidate that does not hold an account is not asked about it.
  Duration decline_time = std::chrono::milliseconds(500);
  /// Maximum number of accounts whose candidates are kept.
  std::size_t max_accounts = 100'000;
};

/// Finds the node that owns the allotment of an account: the first of its candidates that answers
/// and has not declined the account. Not thread-safe.
class OwnerDirectory {
 public:
  using Settings = OwnerDirectorySettings;
  using Candidates = std::array<std::string, 2>;

  /// `clock` must outlive the directory.
  explicit OwnerDirectory(const Clock& clock, Settings settings = {})
      : clock(clock), settings(settings) {}

  void AddInstance(const std::string& name, const SocketAddress& address);
  void RemoveInstance(std::string_view name);

  /// Number of instances, and thus of nodes that share the allotments.
  std::size_t Size() const { return this->names.size(); }

  /// Address of an instance; nullptr if it is unknown.
  const SocketAddress* AddressOf(std::string_view name) const;

  /// The candidates of an account in the order in which they are asked; empty names if there are
  /// fewer.
  const Candidates& CandidatesOf(std::uint64_t account);

  /// Returns the candidate to ask, or an empty name if there is none.
  std::string OwnerOf(std::uint64_t account);

  /// Records that a candidate answered, or did not answer in time.
  void OnAnswer(std::string_view instance);
  void OnLost(std::string_view instance);

  /// Records that a candidate does not own an account at present.
  void OnDeclined(std::uint64_t account, const std::string& instance);

  /// Records that a candidate has handed an account over to the first candidate.
  void OnHandedOver(std::uint64_t account, const std::string& instance);

  /// Records that the local node has taken an account over.
  void OnTakenOver(std::uint64_t account);

  /// Forgets what candidates have declined if that is no longer valid.
  void RemoveExpired();

 private:
  /// What is known of the node of an instance that did not answer.
  struct SilentNode {
    int losses = 0;
    Duration backoff{};
    TimePoint silent_until{};
  };

  bool IsSilent(std::string_view instance) const;
  bool HasDeclined(std::uint64_t account, const std::string& instance) const;

  const Clock& clock;
  const Settings settings;
  /// The known instances: names in the order of the map, and their addresses by name.
  std::vector<std::string> names;
  std::map<std::string, SocketAddress, std::less<>> addresses;
  /// Candidates by account, until an instance is added or removed.
  std::unordered_map<std::uint64_t, Candidates> candidates;
  std::map<std::string, SilentNode, std::less<>> silent_nodes;
  /// Time until which a candidate is not asked about an account.
  std::map<std::pair<std::uint64_t, std::string>, TimePoint> declined_until;
};

}  // namespace masticpin
