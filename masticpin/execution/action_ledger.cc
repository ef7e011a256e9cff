#include "masticpin/execution/action_ledger.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/execution/execution_context.h"

namespace masticpin {
namespace {

// Maximum number of expired entries that one Begin() frees when the table is full. More than one,
// so that a delayed sweep catches up with new arrivals.
constexpr std::size_t kSweepOnInsert = 4;

}  // namespace

ActionLedger::ActionLedger(const LedgerSettings& settings,
                           KeyIssuer& key_issuer,
                           TimerService& timers)
    : settings(settings),
      key_issuer(key_issuer),
      timers(timers),
      buckets(std::bit_ceil(std::max<std::size_t>(settings.capacity, 1))),
      table(Table::bucket_traits(this->buckets.data(), this->buckets.size())) {
  const EpochCounter& counter = this->key_issuer.Epochs();
  this->timers.Schedule(*this, counter.StartOf(counter.Current() + 1));
}

ActionLedger::~ActionLedger() {
  this->timers.Cancel(*this);
  this->table.clear_and_dispose([](LedgerEntry* entry) { intrusive_ptr_release(entry); });
}

BeginResult ActionLedger::Begin(const ActionKey& key,
                                const ActionParameters& parameters,
                                LedgerWaiter& waiter) {
  if (const auto invalid = this->key_issuer.Verify(key)) {
    return BeginResult::Refused(*invalid);
  }
  ErrorKind error{};
  LedgerEntry* entry = this->FindOrInsert(key, parameters, error);
  if (entry == nullptr) {
    return BeginResult::Refused(error);
  }
  if (auto early_result = this->TryAnswer(*entry, key)) {
    return *std::move(early_result);
  }
  if (entry->Running()) {
    entry->waiters.push_back(waiter);
    BeginResult joined;
    joined.decision = BeginDecision::kJoined;
    joined.entry = entry;
    return joined;
  }
  return this->Start(*entry, waiter);
}

BeginResult ActionLedger::BeginWithoutKey(const ActionParameters& parameters,
                                          LedgerWaiter& waiter) {
  assert(parameters.idempotent);
  if (this->draining) {
    return BeginResult::Refused(ErrorKind::kDraining);
  }
  const Ref<LedgerEntry> entry(new LedgerEntry(parameters));
  return this->Start(*entry, waiter);
}

BeginResult ActionLedger::Close(const ActionKey& key,
                                const ActionParameters& parameters,
                                ErrorKind error) {
  assert(IsNotRun(error));
  if (const auto invalid = this->key_issuer.Verify(key)) {
    return BeginResult::Refused(*invalid);
  }
  ErrorKind closed{};
  LedgerEntry* entry = this->FindOrInsert(key, parameters, closed);
  if (entry == nullptr) {
    return BeginResult::Refused(closed);
  }
  if (auto early_result = this->TryAnswer(*entry, key)) {
    return *std::move(early_result);
  }
  // The result of the run in progress goes to its own waiters; this caller only receives an unknown
  // outcome.
  if (entry->Running()) {
    return BeginResult::Refused(ErrorKind::kCancelled);
  }
  --entry->tries_left;
  ActionResult result = ActionResult::Failed(error);
  this->Fail(*entry, result);
  return BeginResult::Refused(*result.error, std::move(result.successor));
}

void ActionLedger::Finish(LedgerEntry& entry, ActionResult result) {
  assert(entry.Running());
  assert((result.response != nullptr) != result.error.has_value());
  const Ref<LedgerEntry> lifetime_guard(&entry);
  --this->running;
  if (result.response) {
    entry.state = LedgerEntry::State::kComplete;
    this->Store(entry, result.response);
  } else {
    this->Fail(entry, result);
  }
  entry.Notify(result);
}

void ActionLedger::Fail(LedgerEntry& entry, ActionResult& result) {
  const ErrorKind error = entry.ErrorToReport(*result.error);
  const bool can_start_again = entry.CanStartAgain();
  result.error = error;
  result.successor.reset();

  // Unknown outcome: only an idempotent action may be retried, and then with the same key.
  if (!IsNotRun(error)) {
    entry.RecordUnknownOutcome(error);
    entry.state = entry.idempotent && can_start_again ? LedgerEntry::State::kStartable
                                                      : LedgerEntry::State::kUnknown;
    return;
  }

  // Not run, but there is no key, or it expired during the run: no key to close and no successor to
  // issue.
  if (!entry.by_epoch.is_linked()) {
    entry.state = LedgerEntry::State::kExhausted;
    return;
  }

  // Not run: the key is closed, either by issuing a new generation or permanently.
  if (!can_start_again) {
    entry.state = LedgerEntry::State::kExhausted;
    if (GetErrorInfo(error).caller_retry != CallerRetry::kNever) {
      result.error = ErrorKind::kAttemptsExhausted;
    }
    return;
  }
  ++entry.generation;
  entry.epoch = this->key_issuer.Epochs().Current();
  entry.by_epoch.unlink();
  this->epochs[entry.epoch].push_back(entry);
  entry.state = LedgerEntry::State::kStartable;
  if (!this->draining) {
    result.successor =
        this->key_issuer.IssueSuccessor(entry.epoch, entry.sequence, entry.generation);
  }
}

LedgerEntry* ActionLedger::FindOrInsert(const ActionKey& key,
                                        const ActionParameters& parameters,
                                        ErrorKind& error) {
  if (const auto found = this->table.find(key.sequence); found != this->table.end()) {
    return &*found;
  }
  // Successor keys always have an entry: it is kept until the newest key of its action expires.
  assert(key.generation == 0);
  if (this->draining) {
    error = ErrorKind::kDraining;
    return nullptr;
  }
  const std::uint32_t current = this->key_issuer.Epochs().Current();
  if (key.epoch <= this->closed_epoch) {
    // While the closed epoch lasts, a new key would be refused too, so the caller is told to wait.
    // Afterwards it can retry with a new key at once.
    error = this->closed_epoch == current ? ErrorKind::kLedgerFull : ErrorKind::kKeyClosed;
    return nullptr;
  }
  if (this->table.size() >= this->settings.capacity) {
    this->Sweep(kSweepOnInsert);
  }
  if (this->table.size() >= this->settings.capacity) {
    this->closed_epoch = current;
    error = ErrorKind::kLedgerFull;
    return nullptr;
  }

  auto* entry = new LedgerEntry(parameters);
  intrusive_ptr_add_ref(entry);
  entry->sequence = key.sequence;
  entry->epoch = key.epoch;
  this->table.insert(*entry);
  this->epochs[key.epoch].push_back(*entry);
  return entry;
}

std::optional<BeginResult> ActionLedger::TryAnswer(LedgerEntry& entry, const ActionKey& key) const {
  assert(key.generation <= entry.generation);
  switch (entry.state) {
    case LedgerEntry::State::kExhausted:
      return BeginResult::Refused(ErrorKind::kAttemptsExhausted);
    case LedgerEntry::State::kStartable:
      if (this->draining) {
        return BeginResult::Refused(entry.ErrorToReport(ErrorKind::kDraining));
      }
      break;
    default:
      break;
  }
  if (key.generation < entry.generation) {
    return BeginResult::Refused(
        ErrorKind::kKeyClosed,
        this->key_issuer.IssueSuccessor(entry.epoch, entry.sequence, entry.generation));
  }
  if (entry.state == LedgerEntry::State::kUnknown) {
    return BeginResult::Refused(*entry.unknown_outcome);
  }
  if (entry.state == LedgerEntry::State::kComplete) {
    if (!entry.response) {
      return BeginResult::Refused(ErrorKind::kAlreadyComplete);
    }
    BeginResult replay;
    replay.decision = BeginDecision::kReplay;
    replay.response = entry.response;
    return replay;
  }
  return std::nullopt;
}

BeginResult ActionLedger::Start(LedgerEntry& entry, LedgerWaiter& waiter) {
  assert(entry.state == LedgerEntry::State::kStartable && entry.tries_left > 0);
  entry.state = LedgerEntry::State::kRunning;
  --entry.tries_left;
  ++this->running;
  entry.waiters.push_back(waiter);
  BeginResult start;
  start.decision = BeginDecision::kStart;
  start.entry = &entry;
  return start;
}

void ActionLedger::Store(LedgerEntry& entry, Ref<const StoredResponse> response) {
  if (!entry.by_epoch.is_linked() || response->Bytes() > this->settings.max_stored_response) {
    return;
  }
  this->stored_bytes += response->Bytes();
  entry.response = std::move(response);
  this->with_response.push_back(entry);
  while (this->stored_bytes > this->settings.stored_bytes) {
    this->DropResponse(this->with_response.front());
  }
}

void ActionLedger::DropResponse(LedgerEntry& entry) {
  this->stored_bytes -= entry.response->Bytes();
  entry.response.reset();
  entry.by_response.unlink();
}

void ActionLedger::EraseEntry(LedgerEntry& entry) {
  if (entry.response) {
    this->DropResponse(entry);
  }
  entry.by_epoch.unlink();
  this->table.erase(this->table.iterator_to(entry));
  intrusive_ptr_release(&entry);
}

bool ActionLedger::Sweep(std::size_t limit) {
  const std::uint32_t current = this->key_issuer.Epochs().Current();
  while (!this->epochs.empty() && this->epochs.begin()->first + 1 < current) {
    auto& expired = this->epochs.begin()->second;
    for (; limit > 0 && !expired.empty(); --limit) {
      this->EraseEntry(expired.front());
    }
    if (!expired.empty()) {
      return true;
    }
    this->epochs.erase(this->epochs.begin());
  }
  return false;
}

void ActionLedger::OnTimer(TimePoint now) {
  const bool more = this->Sweep(this->settings.sweep_batch);
  const EpochCounter& counter = this->key_issuer.Epochs();
  this->timers.Schedule(
      *this, more ? now + this->settings.sweep_delay : counter.StartOf(counter.Current() + 1));
}

}  // namespace masticpin
