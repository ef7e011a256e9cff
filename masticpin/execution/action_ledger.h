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

/// Decides at the home node which actions run. It holds one entry for each action with a used key
/// until the newest key of the action expires. All keys of one action (the first and its
/// successors) share this entry, so a delayed duplicate of any of them finds the result of the
/// action.
///
/// Rule for callers: a request with a key may be reported as "not run" only if Begin(), Close() or
/// OnFinished() gave that error. A node that refuses a keyed request without querying the home node
/// cannot know whether an earlier copy ran, and must report an unknown outcome.
class ActionLedger : private TimerSubscriber {
 public:
  ActionLedger(const LedgerSettings& settings, KeyIssuer& key_issuer, TimerService& timers);
  ~ActionLedger() override;

  /// Decides how to handle one request with a key. `parameters` apply to the first request of an
  /// action; successor keys inherit the remaining attempts and caller tries. Refusals: kKeyInvalid,
  /// kOutcomeLost, kKeyClosed (with the successor to use), kAlreadyComplete, kAttemptsExhausted,
  /// kLedgerFull, kDraining, or the unknown outcome with which the action ended.
  BeginResult Begin(const ActionKey& key, const ActionParameters& parameters, LedgerWaiter& waiter);

  /// Starts an action without a key. The kind must be idempotent; no entry is kept.
  BeginResult BeginWithoutKey(const ActionParameters& parameters, LedgerWaiter& waiter);

  /// Refuses a request with `error`, which must mean "not run", before it is dispatched. Closes an
  /// unused key, so that a duplicate of the request cannot start either. Handles a used key as
  /// Begin() does, but refuses with kCancelled (unknown outcome) instead of joining a running
  /// action.
  BeginResult Close(const ActionKey& key, const ActionParameters& parameters, ErrorKind error);

  /// Ends the run of `entry` and calls its waiters. After a "not run" error the key is closed, and
  /// the result passed to the waiters contains the successor key, or kAttemptsExhausted if no
  /// attempt or caller try is left. After an unknown outcome, an idempotent action may be retried
  /// with the same key.
  void Finish(LedgerEntry& entry, ActionResult result);

  /// Closes all unused keys and refuses new ones. Running actions end normally.
  void Drain() { this->draining = true; }

  /// Number of actions with an entry.
  std::size_t Size() const { return this->table.size(); }
  /// Bytes of stored responses.
  std::size_t StoredBytes() const { return this->stored_bytes; }
  /// Number of running actions, including those without a key.
  std::size_t Running() const { return this->running; }

 private:
  struct SequenceOf {
    using type = std::uint64_t;
    type operator()(const LedgerEntry& entry) const { return entry.sequence; }
  };
  struct SequenceHash {
    // Sequence numbers are consecutive, so their low bits are already evenly distributed.
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
  /// Finds or creates the entry of a verified key. Returns null and sets `error` if the key is
  /// closed.
  LedgerEntry* FindOrInsert(const ActionKey& key,
                            const ActionParameters& parameters,
                            ErrorKind& error);
  /// Returns the result for a key that cannot start or join its action; nothing if it can.
  std::optional<BeginResult> TryAnswer(LedgerEntry& entry, const ActionKey& key) const;
  BeginResult Start(LedgerEntry& entry, LedgerWaiter& waiter);
  /// Ends a run, or a request that never started, with the error in `result`. Replaces that error
  /// by the one to report, and sets the successor key in `result` if there is one.
  void Fail(LedgerEntry& entry, ActionResult& result);

  const LedgerSettings settings;
  KeyIssuer& key_issuer;
  TimerService& timers;
  std::vector<Table::bucket_type> buckets;
  Table table;
  // Entries by the epoch of their newest key: at most three epochs, including the expired one.
  std::map<std::uint32_t, EntryList<&LedgerEntry::by_epoch>> epochs;
  // Entries with a stored response, oldest first.
  EntryList<&LedgerEntry::by_response> with_response;
  std::size_t stored_bytes = 0;
  std::size_t running = 0;
  // Keys without an entry that were issued in this epoch or an earlier one are refused: one of them
  // was refused when the ledger was full, and a delayed duplicate of that key must not start later.
  // Refusing the other keys costs little, because no entry expires before this epoch ends.
  std::uint32_t closed_epoch = 0;
  bool draining = false;
};

}  // namespace masticpin
