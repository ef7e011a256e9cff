#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "masticpin/error/error_info.h"
#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/execution/home_dispatcher.h"
#include "masticpin/execution/inner_call_table.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/recording_waiter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDepth = 15;
constexpr std::uint32_t kCallerTries = 10;
// Maximum number of times that an upstream tries one inner call, and that each hop of the naive
// chain tries a call.
constexpr int kTriesPerHop = 3;

// Inner calls of each upstream by depth; the deepest service makes none.
int FanOut(int depth) {
  if (depth == kDepth) {
    return 0;
  }
  return depth == 1 || depth == 5 || depth == 10 ? 2 : 1;
}

// Attempts of one complete run from `depth` downwards.
std::uint32_t CostOf(int depth) {
  return 1 + (depth == kDepth ? 0 : static_cast<std::uint32_t>(FanOut(depth)) * CostOf(depth + 1));
}

// Parameters of one simulated chain. Upstreams fail with a probability of `fail_percent`, and
// replies are lost with a probability of `loss_percent`.
struct ChainPlan {
  std::uint64_t seed = 0;
  std::uint64_t fail_percent = 100;
  std::uint64_t loss_percent = 0;
  bool idempotent = true;
};

struct ChainResult {
  std::uint32_t attempts = 0;
  bool complete = false;
  // Number of runs of a step that had run, or may have run, before.
  int ran_twice = 0;
};

// A chain of services. One node serves all of them: the decisions do not depend on the node that
// makes them, and the messages still pass through a queue.
class Chain : ExecutionSender, InstanceChooser, DispatchObserver {
 public:
  explicit Chain(const ChainPlan& plan) : plan(plan), random(plan.seed) {
    // Fill the sender retry budget, so that only the attempt budgets limit the retries.
    for (int i = 0; i < 100'000; ++i) {
      this->retry_budget.OnFirstAttempt();
    }
  }
  ~Chain() override { this->runs.clear(); }

  // Sends one action as a caller that never gives up.
  ChainResult RunAction(std::uint32_t attempts) {
    ActionKey key = this->key_issuer.IssueKey();
    const ActionParameters parameters{.idempotent = this->plan.idempotent,
                                      .attempts = attempts,
                                      .caller_tries = kCallerTries,
                                      .cost = CostOf(1)};
    for (int i = 0; i < 2 * static_cast<int>(kCallerTries) && !this->result.complete; ++i) {
      RecordingWaiter waiter;
      const BeginResult begin = this->ledger.Begin(key, parameters, waiter);
      if (begin.decision == BeginDecision::kStart) {
        this->Dispatch(begin.entry, 1, "root");
        while (waiter.results.empty()) {
          this->Step();
        }
        this->result.complete = waiter.results[0].response != nullptr;
        key = waiter.results[0].successor.value_or(key);
      }
    }
    // Executions that are still in progress may cause further attempts.
    for (int i = 0; i < 100; ++i) {
      this->Step();
    }
    return this->result;
  }

 private:
  // One request at one upstream.
  struct Run : LedgerWaiter {
    Run(Chain& chain, Ref<ExecutionContext> context, const wire::ExecuteRequest& request)
        : chain(chain),
          context(std::move(context)),
          key(request.key()),
          path(request.action()),
          depth(std::stoi(request.kind())) {}
    void OnFinished(LedgerEntry& /*entry*/, const ActionResult& result) override {
      // Called while a message is handled; the upstream acts on it later.
      this->chain.queue.emplace_back(
          [this, ok = result.response != nullptr] { this->chain.OnInner(*this, ok); });
    }

    Chain& chain;
    Ref<ExecutionContext> context;
    wire::ExecutionKey key;
    // Path of the step within the action: the indices of the inner calls from the root.
    std::string path;
    int depth;
    int child = 0;
    int tries = 0;
  };

  void Step() {
    if (this->queue.empty()) {
      this->clock.Advance(milliseconds(20));
      return;
    }
    const std::function<void()> call = std::move(this->queue.front());
    this->queue.pop_front();
    call();
  }

  void Dispatch(Ref<LedgerEntry> entry, int depth, const std::string& path) {
    DispatchRequest dispatch_request;
    dispatch_request.action = path;
    dispatch_request.kind = std::to_string(depth);
    dispatch_request.deadline = this->clock.Now() + seconds(2);
    dispatch_request.expected_time = milliseconds(1);
    this->dispatcher.Dispatch(std::move(entry), std::move(dispatch_request));
  }

  std::optional<ExecutionTarget> Choose(std::string_view /*service*/,
                                        std::span<const std::string> exclude,
                                        Priority /*priority*/) override {
    return ExecutionTarget{{std::to_string(exclude.size()), 77}, 1};
  }
  void SendCancel(const InstanceId& /*executor*/, const wire::CancelRequest& request) override {
    this->queue.emplace_back([this, key = request.key()] { this->table.Cancel(key); });
  }
  void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) override {
    this->queue.emplace_back([this, executor, request] { this->OnExecute(executor, request); });
  }
  void OnDispatched(LedgerEntry& entry,
                    const ActionResult& result,
                    std::uint32_t /*attempts_used*/) override {
    if (entry.IsInner()) {
      this->inner.Finish(entry, result);
    } else {
      this->ledger.Finish(entry, result);
    }
  }

  void OnExecute(const InstanceId& executor, const wire::ExecuteRequest& request) {
    if (this->table.Accept(request.key()).decision != AcceptDecision::kNew) {
      return;
    }
    const Ref<ExecutionContext> context = this->inner.Open({.attempts = request.attempts(),
                                                            .priority = {},
                                                            .deadline = {},
                                                            .action = {},
                                                            .traceparent = {}});
    ASSERT_TRUE(context->Budget().Spend(1));
    ++this->result.attempts;
    this->result.ran_twice += ++this->runs_of_step[request.action()] > 1 ? 1 : 0;
    Run& run = this->runs.emplace_back(*this, context, request);
    this->executors[request.key().sequence()] = executor;
    this->Continue(run);
  }

  // Makes the next inner call of a run, or ends the run.
  void Continue(Run& run) {
    if (run.child == FanOut(run.depth)) {
      this->EndRun(run, this->random.NextBelow(100) >= this->plan.fail_percent);
      return;
    }
    const InnerCall call{.service = "s",
                         .kind = std::to_string(run.depth + 1),
                         .step = std::to_string(run.child),
                         .idempotent = this->plan.idempotent,
                         .cost = CostOf(run.depth + 1)};
    const BeginResult begin = this->inner.BeginInner(run.context->Token(), call, run);
    if (begin.decision == BeginDecision::kStart) {
      this->Dispatch(begin.entry, run.depth + 1, run.path + "/" + call.step);
    } else {
      this->OnInner(run, begin.decision == BeginDecision::kReplay);
    }
  }

  void OnInner(Run& run, bool ok) {
    // The upstream retries a failed inner call without checking whether it may have run.
    if (ok) {
      ++run.child;
      run.tries = 0;
    } else if (++run.tries == kTriesPerHop) {
      this->EndRun(run, false);
      return;
    }
    this->Continue(run);
  }

  void EndRun(Run& run, bool ok) {
    const ContextSummary summary = this->inner.Close(*run.context);
    wire::ExecuteReply reply;
    *reply.mutable_key() = run.key;
    reply.set_attempts_used(summary.attempts_used);
    if (ok) {
      reply.mutable_response()->set_status(200);
    } else {
      // Both refusals and unknown outcomes.
      constexpr std::array kErrors = {ErrorKind::kUpstreamShed, ErrorKind::kUpstreamBroken,
                                      ErrorKind::kOverloaded};
      ErrorKind error = kErrors[this->random.NextBelow(kErrors.size())];
      if (IsNotRun(error) && summary.inner_may_have_run) {
        error = ErrorKind::kUpstreamBroken;
      }
      this->runs_of_step[run.path] -= IsNotRun(error) ? 1 : 0;
      reply.set_error(static_cast<std::uint32_t>(error));
    }
    const InstanceId from = this->executors[run.key.sequence()];
    this->runs.remove_if([&run](const Run& other) { return &other == &run; });
    if (this->random.NextBelow(100) >= this->plan.loss_percent) {
      this->queue.emplace_back([this, from, reply] { this->dispatcher.OnReply(from, reply); });
    }
  }

  const ChainPlan plan;
  SeededRandom random;
  FakeClock clock;
  KeyIssuer key_issuer{{"home", 77}, clock, random};
  ActionLedger ledger{{}, key_issuer, clock};
  InnerCallTable inner{random};
  ExecutionTable table{{}, 77, key_issuer.Epochs(), clock};
  SenderRetryBudget retry_budget{clock};
  HomeDispatcher dispatcher{{.max_retries = 3}, 77,   clock, clock, *this, *this,
                            retry_budget,       *this};
  std::list<Run> runs;
  std::map<std::uint64_t, InstanceId> executors;
  std::map<std::string, int> runs_of_step;
  std::deque<std::function<void()>> queue;
  ChainResult result;
};

// Number of attempts in a chain in which each hop retries failed calls and nothing else limits
// them.
std::uint64_t NaiveAttempts(int depth) {
  std::uint64_t attempts = 1;
  for (int i = 0; depth < kDepth && i < kTriesPerHop; ++i) {
    attempts += NaiveAttempts(depth + 1);
  }
  return attempts;
}

// Guards against retries that multiply along a call chain: with 15 services, fan-out, retries by
// each upstream, retries by each home node and 10 tries by the caller, all of them share one
// attempt budget.
TEST(AttemptBoundTest, AttemptsStayWithinTheBound) {
  const std::uint32_t bound = 2 * CostOf(1);
  std::uint32_t max_attempts = 0;
  int complete = 0;
  for (const bool idempotent : {true, false}) {
    for (const std::uint64_t fail_percent : {100, 50, 10, 1}) {
      for (const std::uint64_t loss_percent : {0, 10}) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
          Chain chain({.seed = seed,
                       .fail_percent = fail_percent,
                       .loss_percent = loss_percent,
                       .idempotent = idempotent});
          const ChainResult result = chain.RunAction(bound);
          EXPECT_LE(result.attempts, bound);
          // A step that may have run is not run again in a chain of non-idempotent kinds.
          EXPECT_TRUE(idempotent || result.ran_twice == 0) << "seed " << seed;
          max_attempts = std::max(max_attempts, result.attempts);
          complete += result.complete ? 1 : 0;
        }
      }
    }
  }
  std::printf("ledger: cost=%u bound=%u maximum attempts of one action=%u, complete %d of 800\n",
              CostOf(1), bound, max_attempts, complete);
  EXPECT_GT(complete, 0);
}

// Shows how many attempts occur without the bound.
TEST(AttemptBoundTest, NaiveRetriesMultiply) {
  const std::uint64_t attempts = NaiveAttempts(1);
  std::printf("naive: attempts of one caller try=%llu\n",
              static_cast<unsigned long long>(attempts));
  EXPECT_GT(attempts, 1'000U * CostOf(1));
}

}  // namespace
}  // namespace masticpin
