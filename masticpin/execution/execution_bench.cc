#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/recording_waiter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

const ActionParameters kVote{.idempotent = false, .attempts = 3, .caller_tries = 3};

class SilentWaiter : public LedgerWaiter {
 public:
  void OnFinished(LedgerEntry& /*entry*/, const ActionResult& /*result*/) override {}
};

// A ledger that holds a given number of complete actions.
struct FilledLedger {
  explicit FilledLedger(std::int64_t known) {
    for (std::int64_t i = 0; i < known; ++i) {
      this->keys.push_back(this->key_issuer.IssueKey());
      this->Run(this->keys.back(), this->response);
    }
  }

  void Run(const ActionKey& key, const ActionResult& result) {
    SilentWaiter waiter;
    const BeginResult begin = this->ledger.Begin(key, kVote, waiter);
    this->ledger.Finish(*begin.entry, result);
  }

  FakeClock clock;
  SeededRandom random{1};
  KeyIssuer key_issuer{{"ballot-1", 77}, clock, random};
  ActionLedger ledger{{.capacity = 131'072}, key_issuer, clock};
  // All entries share one response: the memory of responses is limited separately.
  ActionResult response = CompleteWith("x");
  std::vector<ActionKey> keys;
};

// Begin() and Finish() of a new action. Each iteration starts with the same number of known actions
// and adds a tenth of it, but at least 10 and at most 1,000.
void BeginAndFinish(benchmark::State& state) {
  const std::int64_t known = state.range(0);
  const std::int64_t batch = std::clamp<std::int64_t>(known / 10, 10, 1'000);
  for (auto _ : state) {
    FilledLedger filled(known);
    std::vector<ActionKey> keys;
    for (std::int64_t i = 0; i < batch; ++i) {
      keys.push_back(filled.key_issuer.IssueKey());
    }
    const auto start = std::chrono::steady_clock::now();
    for (const ActionKey& key : keys) {
      filled.Run(key, filled.response);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    state.SetIterationTime(elapsed.count() / static_cast<double>(batch));
  }
}
BENCHMARK(BeginAndFinish)->Arg(10)->Arg(1'000)->Arg(100'000)->UseManualTime()->Iterations(50);

// Begin() for a retry of a complete action.
void Replay(benchmark::State& state) {
  FilledLedger filled(state.range(0));
  SilentWaiter waiter;
  std::size_t i = 0;
  for (auto _ : state) {
    // A large odd step visits the keys in an order that the CPU cannot prefetch.
    i = (i + 7'919) % filled.keys.size();
    benchmark::DoNotOptimize(filled.ledger.Begin(filled.keys[i], kVote, waiter));
  }
}
BENCHMARK(Replay)->Arg(10)->Arg(1'000)->Arg(100'000);

// Parses and verifies the text of a key, as is done for each request with a key.
void ParseAndVerify(benchmark::State& state) {
  FilledLedger filled(1);
  const std::string text = filled.keys[0].ToText();
  for (auto _ : state) {
    benchmark::DoNotOptimize(filled.key_issuer.Verify(ActionKey::Parse(text).value()));
  }
}
BENCHMARK(ParseAndVerify);

// Issues a key and converts it to text, as is done for each response.
void IssueToText(benchmark::State& state) {
  FilledLedger filled(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(filled.key_issuer.IssueKey().ToText());
  }
}
BENCHMARK(IssueToText);

// Accept() and Finish() of a new execution at the executor.
void AcceptAndFinish(benchmark::State& state) {
  const std::int64_t known = state.range(0);
  const std::int64_t batch = std::clamp<std::int64_t>(known / 10, 10, 1'000);
  FakeClock clock;
  const EpochCounter epochs(clock);
  const Ref<const StoredReply> reply(new StoredReply(wire::ExecuteReply()));
  wire::ExecutionKey key;
  key.set_home_incarnation(9);
  key.set_executor_incarnation(5);
  key.set_executor_epoch(1);
  for (auto _ : state) {
    ExecutionTable table({.capacity = 131'072}, 5, epochs, clock);
    std::uint64_t sequence = 0;
    const auto run = [&](std::int64_t count) {
      for (std::int64_t i = 0; i < count; ++i) {
        key.set_sequence(++sequence);
        benchmark::DoNotOptimize(table.Accept(key));
        table.Finish(key, reply);
      }
    };
    run(known);
    const auto start = std::chrono::steady_clock::now();
    run(batch);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    state.SetIterationTime(elapsed.count() / static_cast<double>(batch));
  }
}
BENCHMARK(AcceptAndFinish)->Arg(10)->Arg(1'000)->Arg(100'000)->UseManualTime()->Iterations(50);

// Heap memory of one known action and of one execution key, without the response. The measured time
// has no meaning.
void MemoryPerEntry(benchmark::State& state) {
  constexpr std::int64_t kEntries = 100'000;
  const auto heap = [] {
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
  };
  for (auto _ : state) {
    FilledLedger filled(0);
    const double before_ledger = heap();
    for (std::int64_t i = 0; i < kEntries; ++i) {
      filled.Run(filled.key_issuer.IssueKey(), filled.response);
    }
    const double after_ledger = heap();

    const EpochCounter epochs(filled.clock);
    ExecutionTable table({.capacity = 131'072}, 5, epochs, filled.clock);
    wire::ExecutionKey key;
    key.set_executor_incarnation(5);
    key.set_executor_epoch(1);
    const double before_table = heap();
    for (std::int64_t i = 0; i < kEntries; ++i) {
      key.set_sequence(static_cast<std::uint64_t>(i));
      table.Accept(key);
    }
    state.counters["ledger_bytes"] = (after_ledger - before_ledger) / kEntries;
    state.counters["execution_bytes"] = (heap() - before_table) / kEntries;
  }
}
BENCHMARK(MemoryPerEntry)->Iterations(1);

// Duration of the longest single timer call while 100,000 expired actions are freed.
void LongestSweepCall(benchmark::State& state) {
  for (auto _ : state) {
    FilledLedger filled(100'000);
    filled.clock.Advance(std::chrono::seconds(120) - std::chrono::milliseconds(1));
    double longest = 0;
    while (filled.ledger.Size() > 0) {
      const auto start = std::chrono::steady_clock::now();
      filled.clock.Advance(std::chrono::milliseconds(1));
      const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
      longest = std::max(longest, elapsed.count());
    }
    state.SetIterationTime(longest);
  }
}
BENCHMARK(LongestSweepCall)->UseManualTime()->Iterations(20);

}  // namespace
}  // namespace masticpin
