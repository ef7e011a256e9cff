#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <boost/pool/pool.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "masticpin/base/timer_service.h"
#include "masticpin/error/error_kind.h"
#include "masticpin/execution/epoch_counter.h"
#include "masticpin/execution/execution.pb.h"
#include "masticpin/execution/execution_table_settings.h"
#include "masticpin/execution/stored_reply.h"

namespace masticpin {

enum class AcceptDecision : std::uint8_t {
  /// First arrival: run or refuse the execution, then call Finish().
  kNew,
  /// The execution is running: drop the message.
  kDuplicateRunning,
  /// The execution has ended: send the stored reply again if there is one.
  kDuplicateDone,
  /// Reply with the error.
  kRefused,
};

struct AcceptResult {
  AcceptDecision decision = AcceptDecision::kRefused;
  /// Set with kDuplicateDone; empty if the reply is no longer stored.
  Ref<const StoredReply> reply;
  /// Set with kRefused: kWrongIncarnation, kOutcomeLost, kLedgerFull or kCancelledBeforeStart.
  ErrorKind error = ErrorKind::kInternal;
};

enum class CancelDecision : std::uint8_t {
  /// The request has not arrived; it will be refused when it does.
  kClosed,
  /// The request was accepted and has no reply yet; the owner may end it.
  kRunning,
  /// The request has ended, the key is not valid here, or the table is full and refuses the key
  /// when it arrives.
  kIgnored,
};

/// Remembers at the executor every execution key of the current and the previous epoch, so that
/// each execution runs at most once. Accept() must precede every other decision about an
/// ExecuteRequest, including refusals: a refused key has to be closed before "not run" is sent.
class ExecutionTable : private TimerSubscriber {
 public:
  ExecutionTable(const ExecutionTableSettings& settings,
                 std::uint64_t incarnation,
                 const EpochCounter& epochs,
                 TimerService& timers);
  ~ExecutionTable() override;

  AcceptResult Accept(const wire::ExecutionKey& key);

  /// Ends an accepted execution with a response or an error. Does nothing if its epoch has expired.
  void Finish(const wire::ExecutionKey& key, Ref<const StoredReply> reply);

  CancelDecision Cancel(const wire::ExecutionKey& key);

  /// Number of remembered keys.
  std::size_t Size() const { return this->table.size(); }
  std::size_t StoredBytes() const { return this->stored_bytes; }

 private:
  struct Id {
    std::uint64_t home_incarnation;
    std::uint64_t sequence;
    bool operator==(const Id&) const = default;
  };
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  struct Entry {
    Id id;
    boost::intrusive::unordered_set_member_hook<> by_id;
    Hook by_epoch;
    Hook by_reply;
    Ref<const StoredReply> reply;
    bool done = false;
    bool cancelled = false;
  };
  struct IdOf {
    using type = Id;
    const type& operator()(const Entry& entry) const { return entry.id; }
  };
  struct IdHash {
    std::size_t operator()(const Id& id) const;
  };
  using Table = boost::intrusive::unordered_set<
      Entry,
      boost::intrusive::
          member_hook<Entry, boost::intrusive::unordered_set_member_hook<>, &Entry::by_id>,
      boost::intrusive::key_of_value<IdOf>,
      boost::intrusive::hash<IdHash>,
      boost::intrusive::power_2_buckets<true>>;
  template <auto member>
  using EntryList = boost::intrusive::list<Entry,
                                           boost::intrusive::member_hook<Entry, Hook, member>,
                                           boost::intrusive::constant_time_size<false>>;

  void OnTimer(TimePoint now) override;
  bool Sweep(std::size_t limit);
  Entry* Find(const wire::ExecutionKey& key);
  Entry* Insert(const wire::ExecutionKey& key);
  void EraseEntry(Entry& entry);
  void DropReply(Entry& entry);

  const ExecutionTableSettings settings;
  const std::uint64_t incarnation;
  const EpochCounter& epochs;
  TimerService& timers;
  // Entries are allocated from a pool, so that accepting an execution needs no heap allocation in
  // steady state.
  boost::pool<> pool;
  std::vector<Table::bucket_type> buckets;
  Table table;
  std::map<std::uint32_t, EntryList<&Entry::by_epoch>> by_epoch;
  EntryList<&Entry::by_reply> with_reply;
  std::size_t stored_bytes = 0;
  // Unknown keys of this epoch and earlier ones are refused: one of them was refused when the table
  // was full, and a delayed duplicate of that key must not be accepted later.
  std::uint32_t closed_epoch = 0;
};

}  // namespace masticpin
