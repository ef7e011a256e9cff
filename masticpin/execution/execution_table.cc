#include "masticpin/execution/execution_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <new>
#include <utility>

namespace masticpin {
namespace {

// Number of entries by which the pool grows: about 100 KiB, so that growth takes no longer than 0.1
// ms.
constexpr std::size_t kPoolStep = 1'024;
// Maximum number of expired keys that one insertion frees when the table is full, as in the ledger.
constexpr std::size_t kSweepOnInsert = 4;

AcceptResult Refuse(ErrorKind error) {
  return {.decision = AcceptDecision::kRefused, .reply = {}, .error = error};
}

}  // namespace

std::size_t ExecutionTable::IdHash::operator()(const Id& id) const {
  return XXH3_64bits(&id, sizeof(id));
}

ExecutionTable::ExecutionTable(const ExecutionTableSettings& settings,
                               std::uint64_t incarnation,
                               const EpochCounter& epochs,
                               TimerService& timers)
    : settings(settings),
      incarnation(incarnation),
      epochs(epochs),
      timers(timers),
      pool(sizeof(Entry), kPoolStep, kPoolStep),
      buckets(std::bit_ceil(std::max<std::size_t>(settings.capacity, 1))),
      table(Table::bucket_traits(this->buckets.data(), this->buckets.size())) {
  this->timers.Schedule(*this, this->epochs.StartOf(this->epochs.Current() + 1));
}

ExecutionTable::~ExecutionTable() {
  this->timers.Cancel(*this);
  // The pool frees the memory; the destructors release the replies.
  this->table.clear_and_dispose([](Entry* entry) { entry->~Entry(); });
}

AcceptResult ExecutionTable::Accept(const wire::ExecutionKey& key) {
  // Only the addressed incarnation knows whether the key was used.
  if (key.executor_incarnation() != this->incarnation) {
    return Refuse(ErrorKind::kWrongIncarnation);
  }
  // A key outside the two accepted epochs may have run and been removed from the table.
  if (!this->epochs.Accepts(key.executor_epoch())) {
    return Refuse(ErrorKind::kOutcomeLost);
  }
  if (const Entry* entry = this->Find(key)) {
    if (entry->cancelled) {
      return Refuse(ErrorKind::kCancelledBeforeStart);
    }
    return {.decision =
                entry->done ? AcceptDecision::kDuplicateDone : AcceptDecision::kDuplicateRunning,
            .reply = entry->reply,
            .error = {}};
  }
  if (this->Insert(key) == nullptr) {
    return Refuse(ErrorKind::kLedgerFull);
  }
  return {.decision = AcceptDecision::kNew, .reply = {}, .error = {}};
}

void ExecutionTable::Finish(const wire::ExecutionKey& key, Ref<const StoredReply> reply) {
  Entry* entry = this->Find(key);
  if (entry == nullptr || entry->done) {
    return;
  }
  entry->done = true;
  this->stored_bytes += reply->Bytes();
  entry->reply = std::move(reply);
  this->with_reply.push_back(*entry);
  while (this->stored_bytes > this->settings.stored_bytes) {
    this->DropReply(this->with_reply.front());
  }
}

CancelDecision ExecutionTable::Cancel(const wire::ExecutionKey& key) {
  if (key.executor_incarnation() != this->incarnation ||
      !this->epochs.Accepts(key.executor_epoch())) {
    return CancelDecision::kIgnored;
  }
  if (const Entry* entry = this->Find(key)) {
    return entry->done ? CancelDecision::kIgnored : CancelDecision::kRunning;
  }
  Entry* entry = this->Insert(key);
  if (entry == nullptr) {
    return CancelDecision::kIgnored;
  }
  entry->done = true;
  entry->cancelled = true;
  return CancelDecision::kClosed;
}

ExecutionTable::Entry* ExecutionTable::Find(const wire::ExecutionKey& key) {
  const auto found = this->table.find(Id{key.home_incarnation(), key.sequence()});
  return found == this->table.end() ? nullptr : &*found;
}

ExecutionTable::Entry* ExecutionTable::Insert(const wire::ExecutionKey& key) {
  if (key.executor_epoch() <= this->closed_epoch) {
    return nullptr;
  }
  if (this->table.size() >= this->settings.capacity) {
    this->Sweep(kSweepOnInsert);
  }
  if (this->table.size() >= this->settings.capacity) {
    this->closed_epoch = this->epochs.Current();
    return nullptr;
  }
  auto* entry = new (this->pool.malloc()) Entry;
  entry->id = Id{key.home_incarnation(), key.sequence()};
  this->table.insert(*entry);
  this->by_epoch[key.executor_epoch()].push_back(*entry);
  return entry;
}

void ExecutionTable::DropReply(Entry& entry) {
  this->stored_bytes -= entry.reply->Bytes();
  entry.reply.reset();
  entry.by_reply.unlink();
}

void ExecutionTable::EraseEntry(Entry& entry) {
  if (entry.reply) {
    this->DropReply(entry);
  }
  this->table.erase(this->table.iterator_to(entry));
  entry.~Entry();
  this->pool.free(&entry);
}

bool ExecutionTable::Sweep(std::size_t limit) {
  const std::uint32_t current = this->epochs.Current();
  while (!this->by_epoch.empty() && this->by_epoch.begin()->first + 1 < current) {
    auto& expired = this->by_epoch.begin()->second;
    for (; limit > 0 && !expired.empty(); --limit) {
      this->EraseEntry(expired.front());
    }
    if (!expired.empty()) {
      return true;
    }
    this->by_epoch.erase(this->by_epoch.begin());
  }
  return false;
}

void ExecutionTable::OnTimer(TimePoint now) {
  const bool more = this->Sweep(this->settings.sweep_batch);
  this->timers.Schedule(*this, more ? now + this->settings.sweep_delay
                                    : this->epochs.StartOf(this->epochs.Current() + 1));
}

}  // namespace masticpin
