#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "masticpin/base/timer_service.h"
#include "masticpin/execution/begin_result.h"
#include "masticpin/execution/key_issuer.h"
#include "masticpin/execution/ledger_entry.h"
#include "masticpin/execution/ledger_settings.h"

namespace masticpin {

/// Decides at the home node which actions run. It holds one entry for each used key until the key
/// expires. All keys of one action (the first and its successors) share one entry, so a delayed
/// duplicate of any of them finds what became of the action.
///
/// Rule for callers: a request with a key is reported as "not run" only with what Begin(), Close()
/// or OnFinished() returned. A node that refuses a keyed request without asking the home cannot
/// know whether an earlier copy ran, and must report an unknown outcome.
class ActionLedger : private TimerSubscriber {
 public:
  ActionLedger(const LedgerSettings& settings, KeyIssuer& key_issuer, TimerService& timers);
  ~ActionLedger() override;

  /// Decides about one request with a key. `terms` apply to the first request of an action;
  /// successors have what the refused key left. Refusals: kKeyInvalid, kOutcomeLost, kKeyClosed
  /// (with the successor to use), kAlreadyComplete, kAttemptsExhausted, kLedgerFull, kDraining,
  /// or the unknown outcome with which the action ended.
  BeginResult Begin(const ActionKey& key, const ActionParameters& parameters, LedgerWaiter& waiter);

  /// Starts an action without a key. The kind must be idempotent; nothing is remembered.
  BeginResult BeginWithoutKey(const ActionParameters& parameters, LedgerWaiter& waiter);

  /// Refuses a request before it is dispatched: closes an unused key like Begin() followed by
  /// Finish(error), and answers a used one like Begin(), but never joins.
  BeginResult Close(const ActionKey& key, const ActionParameters& parameters, ErrorKind error);

  /// Ends the run of `entry` and calls its waiters. After a "not run" the key is closed, and the
  /// result that the waiters get has its successor, or kAttemptsExhausted if no attempt or caller
  /// try is left. After an unknown outcome an idempotent action may be sent again with its key.
  void Finish(LedgerEntry& entry, ActionResult result);

  /// Closes all unused keys and refuses new ones. Running actions end normally.
  void Drain() { this->draining = true; }

  /// Number of remembered actions.
  std::size_t Size() const { return this->table.size(); }
  /// Bytes of stored responses.
  std::size_t StoredBytes() const { return this->stored_bytes; }
  /// Number of running actions, those without a key included.
  std::size_t Running() const { return this->running; }

 private:
  struct SequenceOf {
    using type = std::uint64_t;
    type operator()(const LedgerEntry& entry) const { return entry.sequence; }
  };
  struct SequenceHash {
    // Sequence numbers are consecutive, so their low bits already spread evenly.
    std::size_t operator()(std::uint64_t sequence) const { return sequence; }
  };
  using Table = boost::intrusive::unordered_set<
      LedgerEntry,
      boost::intrusive::member_hook<LedgerEntry,
                                    boost::intrusive::unordered_set_member_hook<>,
                                    &LedgerEntry::by_sequence>,
      boost::intrusive::key_of_value<SequenceOf>,
      boost::intrusive::hash<SequenceHash>,
      boost::intrusive::power_2_buckets<true>>;
  template <auto member>
  using EntryList =
      boost::intrusive::list<LedgerEntry,
                             boost::intrusive::member_hook<LedgerEntry, LedgerEntry::Hook, member>,
                             boost::intrusive::constant_time_size<false>>;

  void OnTimer(TimePoint now) override;
  /// Frees up to `limit` expired entries; returns true if there are more.
  bool Sweep(std::size_t limit);
  void EraseEntry(LedgerEntry& entry);
  void Store(LedgerEntry& entry, Ref<const StoredResponse> response);
  void DropResponse(LedgerEntry& entry);
  /// Finds or makes the entry of a verified key; null, with the error, if the key is closed.
  LedgerEntry* FindOrInsert(const ActionKey& key,
                            const ActionParameters& parameters,
                            ErrorKind& error);
  /// The answer to a key that cannot start or join its action; nothing if it can.
  std::optional<BeginResult> TryAnswer(LedgerEntry& entry, const ActionKey& key) const;
  BeginResult Start(LedgerEntry& entry, LedgerWaiter& waiter);
  /// Ends a run, or a request that never started, with `error`. Sets the successor in `result`.
  void Fail(LedgerEntry& entry, ActionResult& result);

  const LedgerSettings settings;
  KeyIssuer& key_issuer;
  TimerService& timers;
  std::vector<Table::bucket_type> buckets;
  Table table;
  // Entries by the epoch of their newest key: three at most, the expired one included.
  std::map<std::uint32_t, EntryList<&LedgerEntry::by_epoch>> epochs;
  // Entries with a stored response, oldest first.
  EntryList<&LedgerEntry::by_response> with_response;
  std::size_t stored_bytes = 0;
  std::size_t running = 0;
  // Keys without an entry that were issued in this epoch or before are closed, because the ledger
  // was full when one of them was refused. No room appears before the epoch ends anyway.
  std::uint32_t closed_epoch = 0;
  bool draining = false;
};

}  // namespace masticpin
