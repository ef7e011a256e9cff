#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "masticpin/error/answer_table.h"
#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/execution/home_dispatcher.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 4;
constexpr std::uint32_t kAttempts = 4;
constexpr std::uint32_t kCallerTries = 10;
const ActionTerms kVote{.idempotent = false, .attempts = kAttempts, .caller_tries = kCallerTries};
const ActionTerms kPage{.idempotent = true, .attempts = kAttempts, .caller_tries = kCallerTries};

// Who decides where an action runs.
enum class Mode {
  kOurs,
  // Sends again, anywhere, on timeout; executors run all that arrives.
  kNaiveRetry,
  // The owner of a key is chosen by its hash over the members that a node sees. Each owner runs a
  // key once.
  kOwnerByHash,
};

struct Plan {
  std::uint64_t seed = 0;
  Mode mode = Mode::kOurs;
  int actions = 5'000;
  // Without `all_faults` only partitions occur.
  bool all_faults = true;
  std::size_t capacity = 131'072;
};

struct Totals {
  int actions = 0;
  int complete = 0;
  int runs = 0;
  int doubled = 0;
  int not_run_but_ran = 0;
  int over_attempts = 0;
  int wrong_response = 0;
  std::map<std::string_view, int> errors;

  void Add(const Totals& other) {
    this->actions += other.actions;
    this->complete += other.complete;
    this->runs += other.runs;
    this->doubled += other.doubled;
    this->not_run_but_ran += other.not_run_but_ran;
    this->over_attempts += other.over_attempts;
    this->wrong_response += other.wrong_response;
    for (const auto& [name, count] : other.errors) {
      this->errors[name] += count;
    }
  }
};

struct Request {
  int action = 0;
  bool idempotent = false;
  // Empty to ask for a key.
  std::string key;
};

struct Response {
  std::string key;
  std::optional<ErrorKind> error;
  std::string body;
  std::string next_key;
};

// Nodes, callers and a network with faults. Each node is home and executor.
class World {
 public:
  explicit World(const Plan& plan) : plan(plan), random(plan.seed) {
    this->callers.resize(static_cast<std::size_t>(plan.actions));
    for (int i = 0; i < kNodes; ++i) {
      this->nodes[i].index = i;
      this->Boot(i);
    }
  }

  Totals Run() {
    const seconds load(240);
    for (int i = 0; i < this->plan.actions; ++i) {
      Caller& caller = this->callers[static_cast<std::size_t>(i)];
      caller.action = i;
      caller.idempotent = this->Chance(30);
      this->After(this->Between(milliseconds(1), load), [this, &caller] { this->Send(caller); });
    }
    this->ScheduleFaults(load);
    // The quiet time lets the latest duplicates arrive after every key has expired.
    this->Until(load + seconds(300));
    return this->Check();
  }

 private:
  struct Process;

  // One call at a home that waits for the end of an action.
  class Call : public LedgerWaiter {
   public:
    Call(World& world, Process& process, Request request, int ingress)
        : world(world), process(process), request(std::move(request)), ingress(ingress) {}

    void OnFinished(LedgerEntry& /*entry*/, const ActionResult& result) override {
      Response response{
          .key = this->request.key, .error = result.error, .body = {}, .next_key = {}};
      if (result.response) {
        response.body = result.response->Message().body();
      }
      if (result.successor) {
        response.next_key = result.successor->ToText();
      }
      this->world.Respond(this->process.index, this->ingress, this->request.action, response);
      this->process.calls.remove_if([this](const auto& call) { return call.get() == this; });
    }

    World& world;
    Process& process;
    Request request;
    int ingress;
  };

  // One incarnation of a node.
  struct Process : ExecutionSender, InstanceChooser, DispatchObserver {
    Process(World& world, int index, std::uint64_t incarnation)
        : world(world),
          index(index),
          id{"node-" + std::to_string(index), incarnation},
          mint(id, world.clock, world.random),
          ledger({.capacity = world.plan.capacity}, mint, timers),
          table({.capacity = world.plan.capacity}, incarnation, mint.Epochs(), timers),
          ratio(world.clock),
          dispatcher({}, incarnation, world.clock, timers, *this, *this, ratio, *this) {}

    void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) override {
      const int to = World::IndexOf(executor);
      this->world.Transmit(this->index, to,
                           [this_world = &this->world, from = this->id, to, request] {
                             this_world->OnExecute(to, from, request);
                           });
    }
    void SendCancel(const InstanceId& executor, const wire::CancelRequest& request) override {
      const int to = World::IndexOf(executor);
      this->world.Transmit(this->index, to, [this_world = &this->world, to, key = request.key()] {
        this_world->OnCancel(to, key);
      });
    }
    std::optional<ExecutionTarget> Choose(std::string_view /*service*/,
                                          std::span<const std::string> exclude,
                                          Priority /*priority*/) override {
      std::vector<ExecutionTarget> candidates;
      for (const auto& [to, target] : this->view) {
        if (this->world.Sees(this->index, to) &&
            std::find(exclude.begin(), exclude.end(), target.instance.name) == exclude.end()) {
          candidates.push_back(target);
        }
      }
      if (candidates.empty()) {
        return std::nullopt;
      }
      return candidates[this->world.random.Below(candidates.size())];
    }
    void OnDispatched(LedgerEntry& entry,
                      const ActionResult& result,
                      std::uint32_t /*attempts_used*/) override {
      this->ledger.Finish(entry, result);
    }

    World& world;
    int index;
    InstanceId id;
    TimerQueue timers;
    KeyMint mint;
    ActionLedger ledger;
    ExecutionTable table;
    RetryRatio ratio;
    std::list<std::unique_ptr<Call>> calls;
    HomeDispatcher dispatcher;
    // Instances as last heard of; may be out of date.
    std::map<int, ExecutionTarget> view;
    // Execution sequence numbers that wait for a slot.
    std::set<std::uint64_t> queued;
    // Keys that this owner has run, in mode kOwnerByHash.
    std::set<std::string> owned;
    bool draining = false;
  };

  struct Node {
    int index = 0;
    std::unique_ptr<Process> process;
    TimePoint paused_until{};
    // 0 or 1: the side of the partition.
    int side = 0;
  };

  struct Caller {
    int action = 0;
    bool idempotent = false;
    std::string key;
    int tries = 0;
    bool ended = false;
    // Distinguishes the timer of the present try from older ones.
    int timer = 0;
  };

  struct Event {
    TimePoint due;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::tie(other.due, other.order) < std::tie(this->due, this->order);
    }
  };

  // --- time, chance, network

  bool Chance(int percent) { return this->random.Below(100) < static_cast<std::uint64_t>(percent); }
  bool Fault(int per_mille) {
    return this->plan.all_faults &&
           this->random.Below(1000) < static_cast<std::uint64_t>(per_mille);
  }
  Duration Between(Duration low, Duration high) {
    return low + Duration(static_cast<std::int64_t>(
                     this->random.Below(static_cast<std::uint64_t>((high - low).count()) + 1)));
  }
  void After(Duration delay, std::function<void()> call) {
    this->events.push({this->clock.Now() + delay, this->order++, std::move(call)});
  }
  static int IndexOf(const InstanceId& instance) { return instance.name.back() - '0'; }
  bool Sees(int from, int to) const { return this->nodes[from].side == this->nodes[to].side; }

  void Until(Duration total) {
    const TimePoint end = this->clock.Now() + total;
    while (this->clock.Now() < end) {
      this->clock.Advance(milliseconds(5));
      const TimePoint now = this->clock.Now();
      while (!this->events.empty() && this->events.top().due <= now) {
        const auto call = this->events.top().call;
        this->events.pop();
        call();
      }
      for (Node& node : this->nodes) {
        if (node.paused_until <= now) {
          node.process->timers.RunDue(now);
        }
      }
    }
  }

  // Delivers `call` at `to`, perhaps late, twice, in another order, or never.
  void Transmit(int from, int to, const std::function<void()>& call) {
    const int copies = this->Fault(80) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->Fault(20)) {
        continue;
      }
      Duration delay = this->Between(milliseconds(1), milliseconds(10));
      if (this->Fault(60)) {
        delay = this->Between(milliseconds(10), seconds(2));
      }
      if (this->Fault(3)) {
        delay = this->Between(seconds(3), seconds(200));
      }
      this->After(delay, [this, from, to, call] { this->Deliver(from, to, call); });
    }
  }
  void Deliver(int from, int to, const std::function<void()>& call) {
    Node& node = this->nodes[to];
    if (!this->Sees(from, to)) {
      return;
    }
    if (node.paused_until > this->clock.Now()) {
      // Sockets keep what arrives while the process does not run.
      this->After(node.paused_until - this->clock.Now(),
                  [this, from, to, call] { this->Deliver(from, to, call); });
      return;
    }
    call();
  }

  // --- faults

  void Boot(int index) {
    auto process = std::make_unique<Process>(*this, index, this->random.Next());
    for (Node& node : this->nodes) {
      if (node.process) {
        process->view[node.index] = this->TargetOf(node);
        // A starting node announces itself; the announcement may be missed.
        if (node.index != index && !this->Chance(30)) {
          node.process->view[index] = {process->id, 1};
        }
      }
    }
    process->view[index] = {process->id, 1};
    this->nodes[index].process = std::move(process);
  }
  ExecutionTarget TargetOf(const Node& node) const {
    return {node.process->id, node.process->mint.Epochs().Current()};
  }
  // Each message tells the receiver the incarnation and the epoch of its sender.
  void Hear(int to, int from) {
    this->nodes[to].process->view[from] = this->TargetOf(this->nodes[from]);
  }
  void ScheduleFaults(Duration load) {
    for (int i = 0; i < 30; ++i) {
      this->After(this->Between(seconds(1), load), [this] {
        for (Node& node : this->nodes) {
          node.side = static_cast<int>(this->random.Below(2));
        }
        this->After(this->Between(seconds(1), seconds(15)), [this] {
          for (Node& node : this->nodes) {
            node.side = 0;
          }
        });
      });
    }
    for (Duration at = seconds(3); at < load; at += seconds(3)) {
      this->After(at, [this] {
        for (const Node& a : this->nodes) {
          for (const Node& b : this->nodes) {
            if (this->Sees(a.index, b.index) && a.paused_until <= this->clock.Now()) {
              this->Hear(b.index, a.index);
            }
          }
        }
      });
    }
    if (!this->plan.all_faults) {
      return;
    }
    for (int i = 0; i < 60; ++i) {
      const int index = static_cast<int>(this->random.Below(kNodes));
      this->After(this->Between(seconds(1), load), [this, index] { this->Boot(index); });
    }
    for (int i = 0; i < 40; ++i) {
      const int index = static_cast<int>(this->random.Below(kNodes));
      // One pause in twenty is longer than the life of a key.
      const Duration pause =
          this->Chance(5) ? seconds(130) : this->Between(milliseconds(50), seconds(4));
      this->After(this->Between(seconds(1), load), [this, index, pause] {
        this->nodes[index].paused_until = this->clock.Now() + pause;
      });
    }
    for (int i = 0; i < 6; ++i) {
      const int index = static_cast<int>(this->random.Below(kNodes));
      this->After(this->Between(seconds(1), load), [this, index] {
        Process& process = *this->nodes[index].process;
        process.draining = true;
        process.ledger.Drain();
        this->After(seconds(5), [this, index, incarnation = process.id.incarnation] {
          if (this->nodes[index].process->id.incarnation == incarnation) {
            this->Boot(index);
          }
        });
      });
    }
  }

  // --- callers

  void Send(Caller& caller) {
    if (caller.ended || ++caller.tries > static_cast<int>(kCallerTries)) {
      caller.ended = true;
      return;
    }
    const Request request{caller.action, caller.idempotent, caller.key};
    const int copies = this->Fault(100) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      // A caller reaches any node of its choice, on both sides of a partition.
      const int to = static_cast<int>(this->random.Below(kNodes));
      this->Transmit(to, to, [this, to, request] { this->OnRequest(to, request); });
    }
    // Most callers retry aggressively; some come back after the key has expired.
    const Duration patience =
        this->Fault(5) ? seconds(125) : this->Between(milliseconds(200), milliseconds(2500));
    this->After(patience, [this, &caller, timer = ++caller.timer] {
      if (caller.timer == timer) {
        this->Send(caller);
      }
    });
  }

  void OnResponse(int action, const Response& response) {
    Caller& caller = this->callers[static_cast<std::size_t>(action)];
    if (response.error.has_value()) {
      ++this->totals.errors[GetAnswer(*response.error).name];
      if (IsNotRun(*response.error) && !response.key.empty()) {
        this->told_not_run.insert(response.key);
      }
    } else if (response.body != std::to_string(action)) {
      ++this->totals.wrong_response;
    }
    // Late and duplicate responses to an earlier key change nothing.
    if (caller.ended || response.key != caller.key) {
      return;
    }
    if (!response.error.has_value()) {
      ++this->totals.complete;
      // A caller may repeat a request although its response arrived.
      caller.ended = !this->Fault(50);
      if (!caller.ended) {
        this->Send(caller);
        caller.ended = true;
      }
      return;
    }
    if (!IsNotRun(*response.error) || *response.error == ErrorKind::kAttemptsExhausted) {
      // The outcome of a vote is unknown: no new key for it; the retry timer repeats it as it is.
      caller.ended = !caller.idempotent && this->Chance(50);
      return;
    }
    caller.key = response.next_key;
    this->After(this->Between(milliseconds(5), milliseconds(200)),
                [this, &caller] { this->Send(caller); });
    ++caller.timer;
  }

  // --- homes

  void OnRequest(int at, const Request& request) {
    Process& process = *this->nodes[at].process;
    if (this->plan.mode == Mode::kNaiveRetry) {
      this->Naive(at, request, 0);
      return;
    }
    if (request.key.empty()) {
      this->Respond(at, at, request.action,
                    {.key = {},
                     .error = ErrorKind::kKeyRequired,
                     .body = {},
                     .next_key = process.mint.Mint().ToText()});
      return;
    }
    if (this->plan.mode == Mode::kOwnerByHash) {
      this->ForwardToOwner(at, request);
      return;
    }
    const ActionKey key = ActionKey::Parse(request.key).value();
    const int home = IndexOf(key.home);
    if (home == at) {
      this->OnHome(at, at, request, key);
    } else {
      this->Transmit(at, home,
                     [this, home, at, request, key] { this->OnHome(home, at, request, key); });
    }
  }

  void OnHome(int at, int ingress, const Request& request, const ActionKey& key) {
    Process& process = *this->nodes[at].process;
    process.calls.push_back(std::make_unique<Call>(*this, process, request, ingress));
    BeginResult begin =
        process.ledger.Begin(key, request.idempotent ? kPage : kVote, *process.calls.back());
    switch (begin.verdict) {
      case BeginVerdict::kStart: {
        DispatchOrder order;
        order.service = "ballot";
        order.kind = request.idempotent ? "page" : "vote";
        order.deadline = this->clock.Now() + seconds(1);
        order.expected_time = milliseconds(20);
        order.action = request.key;
        order.request.set_body(std::to_string(request.action));
        process.dispatcher.Dispatch(std::move(begin.entry), std::move(order));
        return;
      }
      case BeginVerdict::kJoined:
        return;
      case BeginVerdict::kReplay:
        this->Respond(at, ingress, request.action,
                      {.key = request.key,
                       .error = {},
                       .body = begin.response->Message().body(),
                       .next_key = {}});
        break;
      case BeginVerdict::kRefused:
        this->Respond(at, ingress, request.action,
                      {.key = request.key,
                       .error = begin.error,
                       .body = {},
                       .next_key = begin.successor ? begin.successor->ToText() : ""});
        break;
    }
    process.calls.pop_back();
  }

  void Respond(int home, int ingress, int action, const Response& response) {
    this->Transmit(home, ingress, [this, ingress, action, response] {
      this->Transmit(ingress, ingress,
                     [this, action, response] { this->OnResponse(action, response); });
    });
  }

  // --- executors

  void OnExecute(int at, const InstanceId& home, const wire::ExecuteRequest& request) {
    Process& process = *this->nodes[at].process;
    this->Hear(at, IndexOf(home));
    const AcceptResult accept = process.table.Accept(request.key());
    switch (accept.verdict) {
      case AcceptVerdict::kDuplicateRunning:
        return;
      case AcceptVerdict::kDuplicateDone:
        if (accept.reply) {
          this->Reply(at, home, accept.reply->Message());
        }
        return;
      case AcceptVerdict::kRefused:
        this->Reply(at, home, MakeReply(request, accept.error));
        return;
      case AcceptVerdict::kNew:
        break;
    }
    if (process.draining) {
      this->End(at, home, MakeReply(request, ErrorKind::kDraining));
    } else if (this->Fault(100)) {
      this->End(at, home, MakeReply(request, ErrorKind::kOverloaded));
    } else if (this->Fault(100)) {
      // Waits in the queue first, where a cancellation still ends it without a run.
      process.queued.insert(request.key().sequence());
      this->After(this->Between(milliseconds(5), seconds(2)),
                  [this, at, home, request, incarnation = process.id.incarnation] {
                    Process& now = *this->nodes[at].process;
                    if (now.id.incarnation == incarnation &&
                        now.queued.erase(request.key().sequence()) > 0) {
                      this->Start(at, home, request);
                    }
                  });
    } else {
      this->Start(at, home, request);
    }
  }

  void Start(int at, const InstanceId& home, const wire::ExecuteRequest& request) {
    ++this->attempts[request.action()];
    if (this->Fault(30)) {
      wire::ExecuteReply shed = MakeReply(request, ErrorKind::kUpstreamShed);
      shed.set_attempts_used(1);
      this->End(at, home, shed);
      return;
    }
    this->RecordRun(std::stoi(request.request().body()), request.action());
    wire::ExecuteReply reply;
    if (this->Fault(30)) {
      reply = MakeReply(request, ErrorKind::kUpstreamBroken);
    } else {
      *reply.mutable_key() = request.key();
      reply.mutable_response()->set_status(200);
      reply.mutable_response()->set_body(request.request().body());
    }
    reply.set_attempts_used(1);
    const Duration duration = this->Fault(50) ? this->Between(milliseconds(500), seconds(3))
                                              : this->Between(milliseconds(5), milliseconds(50));
    this->After(duration,
                [this, at, home, reply, incarnation = this->nodes[at].process->id.incarnation] {
                  if (this->nodes[at].process->id.incarnation == incarnation) {
                    this->End(at, home, reply);
                  }
                });
  }

  void OnCancel(int at, const wire::ExecutionKey& key) {
    Process& process = *this->nodes[at].process;
    if (process.table.Cancel(key) == CancelVerdict::kRunning &&
        process.queued.erase(key.sequence()) > 0) {
      wire::ExecuteRequest request;
      *request.mutable_key() = key;
      process.table.Finish(key, Ref<const StoredReply>(new StoredReply(
                                    MakeReply(request, ErrorKind::kCancelledBeforeStart))));
    }
  }

  static wire::ExecuteReply MakeReply(const wire::ExecuteRequest& request, ErrorKind error) {
    wire::ExecuteReply reply;
    *reply.mutable_key() = request.key();
    reply.set_error(static_cast<std::uint32_t>(error));
    return reply;
  }

  void End(int at, const InstanceId& home, const wire::ExecuteReply& reply) {
    this->nodes[at].process->table.Finish(reply.key(),
                                          Ref<const StoredReply>(new StoredReply(reply)));
    this->Reply(at, home, reply);
  }

  void Reply(int at, const InstanceId& home, const wire::ExecuteReply& reply) {
    const int to = IndexOf(home);
    this->Transmit(at, to, [this, to, from = this->nodes[at].process->id, reply] {
      this->Hear(to, IndexOf(from));
      this->nodes[to].process->dispatcher.OnReply(from, reply);
    });
  }

  void RecordRun(int action, const std::string& key) {
    ++this->totals.runs;
    ++this->runs_of_action[action];
    this->keys_that_ran.insert(key);
  }

  // --- the naive versions

  void Naive(int at, const Request& request, int tries) {
    const int to = static_cast<int>(this->random.Below(kNodes));
    auto answered = std::make_shared<bool>(false);
    this->Transmit(at, to, [this, at, to, request, answered] {
      if (this->Fault(100)) {
        return;
      }
      this->RecordRun(request.action, {});
      const Duration duration = this->Fault(50) ? this->Between(milliseconds(500), seconds(3))
                                                : this->Between(milliseconds(5), milliseconds(50));
      this->After(duration, [this, at, to, request, answered] {
        this->Transmit(to, at, [this, at, request, answered] {
          *answered = true;
          this->Respond(at, at, request.action,
                        {.key = request.key,
                         .error = {},
                         .body = std::to_string(request.action),
                         .next_key = {}});
        });
      });
    });
    this->After(milliseconds(400), [this, at, request, tries, answered] {
      if (!*answered && tries < 2) {
        this->Naive(at, request, tries + 1);
      }
    });
  }

  void ForwardToOwner(int at, const Request& request) {
    std::vector<int> members;
    for (const Node& node : this->nodes) {
      if (this->Sees(at, node.index)) {
        members.push_back(node.index);
      }
    }
    const int owner = members[std::hash<std::string>{}(request.key) % members.size()];
    this->Transmit(at, owner, [this, at, owner, request] {
      if (this->nodes[owner].process->owned.insert(request.key).second) {
        this->RecordRun(request.action, request.key);
      }
      this->Respond(owner, at, request.action,
                    {.key = request.key,
                     .error = {},
                     .body = std::to_string(request.action),
                     .next_key = {}});
    });
  }

  Totals Check() {
    this->totals.actions = this->plan.actions;
    for (const auto& [action, runs] : this->runs_of_action) {
      if (runs > 1 && !this->callers[static_cast<std::size_t>(action)].idempotent) {
        ++this->totals.doubled;
      }
    }
    for (const std::string& key : this->told_not_run) {
      this->totals.not_run_but_ran += static_cast<int>(this->keys_that_ran.count(key));
    }
    // All keys of one action have the same home incarnation and sequence number.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> attempts_of_action;
    for (const auto& [text, count] : this->attempts) {
      const ActionKey key = ActionKey::Parse(text).value();
      attempts_of_action[{key.home.incarnation, key.sequence}] += count;
    }
    for (const auto& [action, count] : attempts_of_action) {
      this->totals.over_attempts += count > kAttempts ? 1 : 0;
    }
    return this->totals;
  }

  const Plan plan;
  FakeClock clock;
  SeededRandom random;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  std::array<Node, kNodes> nodes;
  std::vector<Caller> callers;
  std::map<int, int> runs_of_action;
  std::map<std::string, std::uint32_t> attempts;
  std::set<std::string> keys_that_ran;
  std::set<std::string> told_not_run;
  Totals totals;
};

Totals RunAll(Plan plan, int worlds) {
  Totals all;
  for (int i = 0; i < worlds; ++i) {
    plan.seed = 1'000 + static_cast<std::uint64_t>(i);
    // Every third world has tables that are too small.
    Plan world_plan = plan;
    if (i % 3 == 2 && plan.all_faults) {
      world_plan.capacity = 60;
    }
    all.Add(World(world_plan).Run());
  }
  return all;
}

void Print(const char* name, const Totals& totals) {
  std::printf("%s: actions=%d complete=%d runs=%d doubled=%d not_run_but_ran=%d over_attempts=%d\n",
              name, totals.actions, totals.complete, totals.runs, totals.doubled,
              totals.not_run_but_ran, totals.over_attempts);
  for (const auto& [error, count] : totals.errors) {
    std::printf("  %.*s=%d\n", static_cast<int>(error.size()), error.data(), count);
  }
}

// Guards against a second run of a non-idempotent action and against a "not run" answer to a
// request that ran before or after it, with lost, late and duplicated messages, restarts, pauses,
// partitions, drains and full tables together.
TEST(ExecutionFaultsTest, AllFaultsTogether) {
  const Totals ours = RunAll({}, 24);
  Print("ours", ours);
  EXPECT_GE(ours.actions, 100'000);
  EXPECT_EQ(ours.doubled, 0);
  EXPECT_EQ(ours.not_run_but_ran, 0);
  EXPECT_EQ(ours.over_attempts, 0);
  EXPECT_EQ(ours.wrong_response, 0);
  // The faults must not keep the actions from running at all.
  EXPECT_GT(ours.complete, ours.actions / 2);
}

// Shows that the seeds do produce second runs when nothing prevents them.
TEST(ExecutionFaultsTest, NaiveRetryRunsTwice) {
  Plan plan;
  plan.mode = Mode::kNaiveRetry;
  const Totals naive = RunAll(plan, 24);
  Print("naive retry", naive);
  EXPECT_GT(naive.doubled, 0);
}

// Guards against owners that two sides of a partition choose differently.
TEST(ExecutionFaultsTest, OwnershipByHashRunsTwiceUnderPartition) {
  Plan plan;
  plan.all_faults = false;
  const Totals ours = RunAll(plan, 4);
  Print("ours, partitions only", ours);
  EXPECT_EQ(ours.doubled, 0);
  EXPECT_EQ(ours.not_run_but_ran, 0);

  plan.mode = Mode::kOwnerByHash;
  const Totals naive = RunAll(plan, 4);
  Print("owner by hash, partitions only", naive);
  EXPECT_GT(naive.doubled, 0);
}

}  // namespace
}  // namespace masticpin
