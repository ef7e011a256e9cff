#include "masticpin/execution/inner_call_table.h"

#include <sodium.h>

#include <array>
#include <cassert>
#include <utility>

#include "masticpin/error/error_info.h"

namespace masticpin {
namespace {

// Maximum number of distinct inner calls of one execution. Refused steps cost no attempt, so
// without this limit an upstream in a loop would exhaust the memory.
constexpr std::size_t kMaxInnerCalls = 1'024;
// Same limit as for root actions. A larger response is not stored but still reaches the waiting
// calls.
constexpr std::size_t kMaxStoredResponse = 65'536;

std::string MakeToken(RandomSource& random) {
  const std::array<std::uint64_t, 2> bits = {random.Next(), random.Next()};
  std::array<char, 32> text{};
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bits.data()),
                    sizeof(bits), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return text.data();
}

}  // namespace

InnerCallTable::~InnerCallTable() {
  // Contexts and their entries reference each other; Close() breaks the cycle.
  while (!this->contexts.empty()) {
    this->Close(*this->contexts.begin()->second);
  }
}

Ref<ExecutionContext> InnerCallTable::Open(ContextParameters parameters) {
  const Ref<ExecutionContext> context(
      new ExecutionContext(MakeToken(this->random), std::move(parameters)));
  const bool inserted = this->contexts.emplace(context->Token(), context).second;
  // 128 random bits do not collide; a duplicate means that the random source is broken.
  assert(inserted);
  static_cast<void>(inserted);
  return context;
}

Ref<ExecutionContext> InnerCallTable::Find(std::string_view token) const {
  const auto found = this->contexts.find(token);
  return found == this->contexts.end() ? nullptr : found->second;
}

BeginResult InnerCallTable::BeginInner(std::string_view token,
                                       const InnerCall& call,
                                       LedgerWaiter& waiter) {
  const Ref<ExecutionContext> context = this->Find(token);
  if (!context) {
    return BeginResult::Refused(ErrorKind::kCancelledBeforeStart);
  }
  const ActionParameters parameters{
      .idempotent = call.idempotent, .attempts = 0, .caller_tries = 1, .cost = call.cost};

  // Find the entry of an earlier call with the same step.
  Ref<LedgerEntry> entry;
  ExecutionContext::InnerKey key(call.service, call.kind, call.step);
  if (!call.idempotent) {
    if (const auto found = context->inner.find(key); found != context->inner.end()) {
      entry = found->second;
    }
  }
  if (entry) {
    switch (entry->state) {
      case LedgerEntry::State::kRunning: {
        entry->waiters.push_back(waiter);
        BeginResult joined;
        joined.decision = BeginDecision::kJoined;
        joined.entry = entry;
        return joined;
      }
      case LedgerEntry::State::kComplete: {
        if (!entry->response) {
          return BeginResult::Refused(ErrorKind::kAlreadyComplete);
        }
        BeginResult replay;
        replay.decision = BeginDecision::kReplay;
        replay.response = entry->response;
        return replay;
      }
      case LedgerEntry::State::kUnknown:
        return BeginResult::Refused(*entry->unknown_outcome);
      case LedgerEntry::State::kStartable:
      case LedgerEntry::State::kExhausted:
        break;
    }
  }

  // Start a new call, or one that was refused before.
  if (context->Budget().Held() < std::max<std::uint32_t>(call.cost, 1)) {
    return BeginResult::Refused(ErrorKind::kAttemptsExhausted);
  }
  if (!entry) {
    if (context->inner.size() >= kMaxInnerCalls) {
      return BeginResult::Refused(ErrorKind::kLedgerFull);
    }
    entry.reset(new LedgerEntry(parameters, context));
    if (!call.idempotent) {
      context->inner.emplace(std::move(key), entry);
    }
  }
  entry->state = LedgerEntry::State::kRunning;
  entry->waiters.push_back(waiter);
  BeginResult start;
  start.decision = BeginDecision::kStart;
  start.entry = std::move(entry);
  return start;
}

void InnerCallTable::Finish(LedgerEntry& entry, ActionResult result) {
  assert(entry.Running());
  const Ref<LedgerEntry> lifetime_guard(&entry);
  if (result.response) {
    entry.state = LedgerEntry::State::kComplete;
    if (!entry.idempotent && result.response->Bytes() <= kMaxStoredResponse) {
      entry.response = result.response;
    }
  } else {
    result.error = entry.ErrorToReport(*result.error);
    if (IsNotRun(*result.error)) {
      entry.state = LedgerEntry::State::kStartable;
    } else {
      entry.RecordUnknownOutcome(*result.error);
      entry.state = LedgerEntry::State::kUnknown;
    }
  }
  entry.Notify(result);
}

ContextSummary InnerCallTable::Close(ExecutionContext& context) {
  const Ref<ExecutionContext> lifetime_guard(&context);
  ContextSummary summary;
  summary.attempts_used = context.budget.Close();
  for (const auto& [key, entry] : context.inner) {
    if (entry->state != LedgerEntry::State::kStartable) {
      summary.inner_may_have_run = true;
    }
  }
  // The entries reference the context; removing them breaks the cycle.
  context.inner.clear();
  context.open = false;
  this->contexts.erase(context.Token());
  return summary;
}

}  // namespace masticpin
