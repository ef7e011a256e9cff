#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "masticpin/execution/action_ledger.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/execution/home_dispatcher.h"
#include "masticpin/testing/action_audit.h"
#include "masticpin/testing/execution_simulation_plan.h"
#include "masticpin/testing/simulated_network.h"

namespace masticpin {

/// Simulates nodes, callers and a network with faults. Each node is both home node and executor.
class ExecutionSimulation : private SimulatedNetwork {
 public:
  explicit ExecutionSimulation(const ExecutionSimulationPlan& plan)
      : SimulatedNetwork(plan.seed, plan.all_faults), plan(plan) {
    this->callers.resize(static_cast<std::size_t>(plan.actions));
    for (int i = 0; i < kNodes; ++i) {
      this->nodes[i].index = i;
      this->StartProcess(i);
    }
  }

  ActionTotals Run() {
    const seconds load(240);
    for (int i = 0; i < this->plan.actions; ++i) {
      Caller& caller = this->callers[static_cast<std::size_t>(i)];
      caller.action = i;
      caller.idempotent = this->Chance(30);
      this->ScheduleAfter(this->RandomDuration(milliseconds(1), load),
                          [this, &caller] { this->Send(caller); });
    }
    this->ScheduleFaults(load);
    // The time without load lets the latest duplicates arrive after every key has expired.
    this->RunFor(load + seconds(300));
    return this->audit.Check(this->plan.actions, [this](int action) {
      return this->callers[static_cast<std::size_t>(action)].idempotent;
    });
  }

 private:
  static constexpr std::uint32_t kAttempts = 4;
  static constexpr std::uint32_t kCallerTries = 10;
  static inline const ActionParameters kVote{.idempotent = false,
                                             .attempts = kAttempts,
                                             .caller_tries = kCallerTries};
  static inline const ActionParameters kPage{.idempotent = true,
                                             .attempts = kAttempts,
                                             .caller_tries = kCallerTries};

  struct Process;

  // One call at a home node that waits for the end of an action.
  class Call : public LedgerWaiter {
   public:
    Call(ExecutionSimulation& simulation, Process& process, SimulatedRequest request, int ingress)
        : simulation(simulation), process(process), request(std::move(request)), ingress(ingress) {}

    void OnFinished(LedgerEntry& /*entry*/, const ActionResult& result) override {
      SimulatedResponse response{
          .key = this->request.key, .error = result.error, .body = {}, .next_key = {}};
      if (result.response) {
        response.body = result.response->Message().body();
      }
      if (result.successor) {
        response.next_key = result.successor->ToText();
      }
      this->simulation.Respond(this->process.index, this->ingress, this->request.action, response);
      this->process.calls.remove_if([this](const auto& call) { return call.get() == this; });
    }

    ExecutionSimulation& simulation;
    Process& process;
    SimulatedRequest request;
    int ingress;
  };

  // One incarnation of a node.
  struct Process : ExecutionSender, InstanceChooser, DispatchObserver {
    Process(ExecutionSimulation& simulation, int index, std::uint64_t incarnation)
        : simulation(simulation),
          index(index),
          id{"node-" + std::to_string(index), incarnation},
          key_issuer(id, simulation.clock, simulation.random),
          ledger({.capacity = simulation.plan.capacity}, key_issuer, timers),
          table({.capacity = simulation.plan.capacity}, incarnation, key_issuer.Epochs(), timers),
          retry_budget(simulation.clock),
          dispatcher({}, incarnation, simulation.clock, timers, *this, *this, retry_budget, *this) {
    }

    void SendExecute(const InstanceId& executor, const wire::ExecuteRequest& request) override {
      const int to = ExecutionSimulation::IndexOf(executor);
      this->simulation.Transmit(
          this->index, to, [this_simulation = &this->simulation, from = this->id, to, request] {
            this_simulation->OnExecute(to, from, request);
          });
    }
    void SendCancel(const InstanceId& executor, const wire::CancelRequest& request) override {
      const int to = ExecutionSimulation::IndexOf(executor);
      this->simulation.Transmit(this->index, to,
                                [this_simulation = &this->simulation, to, key = request.key()] {
                                  this_simulation->OnCancel(to, key);
                                });
    }
    std::optional<ExecutionTarget> Choose(std::string_view /*service*/,
                                          std::span<const std::string> exclude,
                                          Priority /*priority*/) override {
      std::vector<ExecutionTarget> candidates;
      for (const auto& [to, target] : this->view) {
        if (this->simulation.CanReach(this->index, to) &&
            std::find(exclude.begin(), exclude.end(), target.instance.name) == exclude.end()) {
          candidates.push_back(target);
        }
      }
      if (candidates.empty()) {
        return std::nullopt;
      }
      return candidates[this->simulation.random.NextBelow(candidates.size())];
    }
    void OnDispatched(LedgerEntry& entry,
                      const ActionResult& result,
                      std::uint32_t /*attempts_used*/) override {
      this->ledger.Finish(entry, result);
    }

    ExecutionSimulation& simulation;
    int index;
    InstanceId id;
    TimerQueue timers;
    KeyIssuer key_issuer;
    ActionLedger ledger;
    ExecutionTable table;
    SenderRetryBudget retry_budget;
    std::list<std::unique_ptr<Call>> calls;
    HomeDispatcher dispatcher;
    // Last known incarnation and epoch of each node; may be out of date.
    std::map<int, ExecutionTarget> view;
    // Sequence numbers of the executions that wait for a slot.
    std::set<std::uint64_t> queued;
    // Keys that this owner has run, in mode kOwnerByHash.
    std::set<std::string> owned_keys;
    bool draining = false;
  };

  struct Node {
    int index = 0;
    std::unique_ptr<Process> process;
  };

  struct Caller {
    int action = 0;
    bool idempotent = false;
    std::string key;
    int tries = 0;
    bool ended = false;
    // Distinguishes the timer of the current try from older ones.
    int retry_timer_id = 0;
  };

  // --- time

  static int IndexOf(const InstanceId& instance) { return instance.name.back() - '0'; }
  void RunFor(Duration total) {
    const TimePoint end = this->clock.Now() + total;
    while (this->clock.Now() < end) {
      this->clock.Advance(milliseconds(5));
      this->RunDueEvents();
      const TimePoint now = this->clock.Now();
      for (Node& node : this->nodes) {
        if (!this->IsPaused(node.index)) {
          node.process->timers.RunDue(now);
        }
      }
    }
  }

  // --- faults

  void StartProcess(int index) {
    auto process = std::make_unique<Process>(*this, index, this->random.Next());
    for (Node& node : this->nodes) {
      if (node.process) {
        process->view[node.index] = this->TargetOf(node);
        // A starting node announces itself; the announcement may be lost.
        if (node.index != index && !this->Chance(30)) {
          node.process->view[index] = {process->id, 1};
        }
      }
    }
    process->view[index] = {process->id, 1};
    this->nodes[index].process = std::move(process);
  }
  ExecutionTarget TargetOf(const Node& node) const {
    return {node.process->id, node.process->key_issuer.Epochs().Current()};
  }
  // Each message contains the incarnation and the epoch of its sender.
  void UpdateView(int to, int from) {
    this->nodes[to].process->view[from] = this->TargetOf(this->nodes[from]);
  }
  void ScheduleFaults(Duration load) {
    for (int i = 0; i < 30; ++i) {
      this->ScheduleAfter(this->RandomDuration(seconds(1), load), [this] {
        this->Partition();
        this->ScheduleAfter(this->RandomDuration(seconds(1), seconds(15)),
                            [this] { this->EndPartition(); });
      });
    }
    for (Duration at = seconds(3); at < load; at += seconds(3)) {
      this->ScheduleAfter(at, [this] {
        for (const Node& a : this->nodes) {
          for (const Node& b : this->nodes) {
            if (this->CanReach(a.index, b.index) && !this->IsPaused(a.index)) {
              this->UpdateView(b.index, a.index);
            }
          }
        }
      });
    }
    if (!this->plan.all_faults) {
      return;
    }
    for (int i = 0; i < 60; ++i) {
      const int index = static_cast<int>(this->random.NextBelow(kNodes));
      this->ScheduleAfter(this->RandomDuration(seconds(1), load),
                          [this, index] { this->StartProcess(index); });
    }
    for (int i = 0; i < 40; ++i) {
      const int index = static_cast<int>(this->random.NextBelow(kNodes));
      // One pause in twenty is longer than the lifetime of a key.
      const Duration pause =
          this->Chance(5) ? seconds(130) : this->RandomDuration(milliseconds(50), seconds(4));
      this->ScheduleAfter(this->RandomDuration(seconds(1), load),
                          [this, index, pause] { this->Pause(index, pause); });
    }
    for (int i = 0; i < 6; ++i) {
      const int index = static_cast<int>(this->random.NextBelow(kNodes));
      this->ScheduleAfter(this->RandomDuration(seconds(1), load), [this, index] {
        Process& process = *this->nodes[index].process;
        process.draining = true;
        process.ledger.Drain();
        this->ScheduleAfter(seconds(5), [this, index, incarnation = process.id.incarnation] {
          if (this->nodes[index].process->id.incarnation == incarnation) {
            this->StartProcess(index);
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
    const SimulatedRequest request{caller.action, caller.idempotent, caller.key};
    const int copies = this->FaultOccurs(100) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      // Callers can reach the nodes on both sides of a partition.
      const int to = static_cast<int>(this->random.NextBelow(kNodes));
      this->Transmit(to, to, [this, to, request] { this->OnRequest(to, request); });
    }
    // Most callers retry aggressively; some retry only after the key has expired.
    const Duration caller_timeout =
        this->FaultOccurs(5) ? seconds(125)
                             : this->RandomDuration(milliseconds(200), milliseconds(2500));
    this->ScheduleAfter(caller_timeout, [this, &caller, retry_timer_id = ++caller.retry_timer_id] {
      if (caller.retry_timer_id == retry_timer_id) {
        this->Send(caller);
      }
    });
  }

  void OnResponse(int action, const SimulatedResponse& response) {
    Caller& caller = this->callers[static_cast<std::size_t>(action)];
    if (response.error.has_value()) {
      this->audit.RecordError(*response.error, response.key);
    } else if (response.body != std::to_string(action)) {
      this->audit.RecordWrongResponse();
    }
    // Late and duplicate responses to an earlier key are ignored.
    if (caller.ended || response.key != caller.key) {
      return;
    }
    if (!response.error.has_value()) {
      this->audit.RecordComplete();
      // A caller may retry a request although its response arrived.
      caller.ended = !this->FaultOccurs(50);
      if (!caller.ended) {
        this->Send(caller);
        caller.ended = true;
      }
      return;
    }
    if (!IsNotRun(*response.error) || *response.error == ErrorKind::kAttemptsExhausted) {
      // The outcome is unknown or no attempts are left, so there is no new key. Some callers of
      // votes give up; the others retry the unchanged request when the retry timer fires.
      caller.ended = !caller.idempotent && this->Chance(50);
      return;
    }
    caller.key = response.next_key;
    this->ScheduleAfter(this->RandomDuration(milliseconds(5), milliseconds(200)),
                        [this, &caller] { this->Send(caller); });
    ++caller.retry_timer_id;
  }

  // --- home nodes

  void OnRequest(int at, const SimulatedRequest& request) {
    Process& process = *this->nodes[at].process;
    if (this->plan.mode == ExecutionMode::kNaiveRetry) {
      this->SendNaively(at, request, 0);
      return;
    }
    if (request.key.empty()) {
      this->Respond(at, at, request.action,
                    {.key = {},
                     .error = ErrorKind::kKeyRequired,
                     .body = {},
                     .next_key = process.key_issuer.IssueKey().ToText()});
      return;
    }
    if (this->plan.mode == ExecutionMode::kOwnerByHash) {
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

  void OnHome(int at, int ingress, const SimulatedRequest& request, const ActionKey& key) {
    Process& process = *this->nodes[at].process;
    process.calls.push_back(std::make_unique<Call>(*this, process, request, ingress));
    BeginResult begin =
        process.ledger.Begin(key, request.idempotent ? kPage : kVote, *process.calls.back());
    switch (begin.decision) {
      case BeginDecision::kStart: {
        DispatchRequest dispatch_request;
        dispatch_request.service = "ballot";
        dispatch_request.kind = request.idempotent ? "page" : "vote";
        dispatch_request.deadline = this->clock.Now() + seconds(1);
        dispatch_request.expected_time = milliseconds(20);
        dispatch_request.action = request.key;
        dispatch_request.request.set_body(std::to_string(request.action));
        process.dispatcher.Dispatch(std::move(begin.entry), std::move(dispatch_request));
        return;
      }
      case BeginDecision::kJoined:
        return;
      case BeginDecision::kReplay:
        this->Respond(at, ingress, request.action,
                      {.key = request.key,
                       .error = {},
                       .body = begin.response->Message().body(),
                       .next_key = {}});
        break;
      case BeginDecision::kRefused:
        this->Respond(at, ingress, request.action,
                      {.key = request.key,
                       .error = begin.error,
                       .body = {},
                       .next_key = begin.successor ? begin.successor->ToText() : ""});
        break;
    }
    process.calls.pop_back();
  }

  void Respond(int home, int ingress, int action, const SimulatedResponse& response) {
    this->Transmit(home, ingress, [this, ingress, action, response] {
      this->Transmit(ingress, ingress,
                     [this, action, response] { this->OnResponse(action, response); });
    });
  }

  // --- executors

  void OnExecute(int at, const InstanceId& home, const wire::ExecuteRequest& request) {
    Process& process = *this->nodes[at].process;
    this->UpdateView(at, IndexOf(home));
    const AcceptResult accept = process.table.Accept(request.key());
    switch (accept.decision) {
      case AcceptDecision::kDuplicateRunning:
        return;
      case AcceptDecision::kDuplicateDone:
        if (accept.reply) {
          this->Reply(at, home, accept.reply->Message());
        }
        return;
      case AcceptDecision::kRefused:
        this->Reply(at, home, MakeReply(request, accept.error));
        return;
      case AcceptDecision::kNew:
        break;
    }
    if (process.draining) {
      this->End(at, home, MakeReply(request, ErrorKind::kDraining));
    } else if (this->FaultOccurs(100)) {
      this->End(at, home, MakeReply(request, ErrorKind::kOverloaded));
    } else if (this->FaultOccurs(100)) {
      // Waits in the queue first, where a cancellation can still end it without a run.
      process.queued.insert(request.key().sequence());
      this->ScheduleAfter(this->RandomDuration(milliseconds(5), seconds(2)),
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
    this->audit.RecordAttempt(request.action());
    if (this->FaultOccurs(30)) {
      wire::ExecuteReply shed = MakeReply(request, ErrorKind::kUpstreamShed);
      shed.set_attempts_used(1);
      this->End(at, home, shed);
      return;
    }
    this->audit.RecordRun(std::stoi(request.request().body()), request.action());
    wire::ExecuteReply reply;
    if (this->FaultOccurs(30)) {
      reply = MakeReply(request, ErrorKind::kUpstreamBroken);
    } else {
      *reply.mutable_key() = request.key();
      reply.mutable_response()->set_status(200);
      reply.mutable_response()->set_body(request.request().body());
    }
    reply.set_attempts_used(1);
    const Duration duration = this->FaultOccurs(50)
                                  ? this->RandomDuration(milliseconds(500), seconds(3))
                                  : this->RandomDuration(milliseconds(5), milliseconds(50));
    this->ScheduleAfter(
        duration, [this, at, home, reply, incarnation = this->nodes[at].process->id.incarnation] {
          if (this->nodes[at].process->id.incarnation == incarnation) {
            this->End(at, home, reply);
          }
        });
  }

  void OnCancel(int at, const wire::ExecutionKey& key) {
    Process& process = *this->nodes[at].process;
    if (process.table.Cancel(key) == CancelDecision::kRunning &&
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
      this->UpdateView(to, IndexOf(from));
      this->nodes[to].process->dispatcher.OnReply(from, reply);
    });
  }

  // --- naive modes for comparison

  void SendNaively(int at, const SimulatedRequest& request, int tries) {
    const int to = static_cast<int>(this->random.NextBelow(kNodes));
    auto answered = std::make_shared<bool>(false);
    this->Transmit(at, to, [this, at, to, request, answered] {
      if (this->FaultOccurs(100)) {
        return;
      }
      this->audit.RecordRun(request.action, {});
      const Duration duration = this->FaultOccurs(50)
                                    ? this->RandomDuration(milliseconds(500), seconds(3))
                                    : this->RandomDuration(milliseconds(5), milliseconds(50));
      this->ScheduleAfter(duration, [this, at, to, request, answered] {
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
    this->ScheduleAfter(milliseconds(400), [this, at, request, tries, answered] {
      if (!*answered && tries < 2) {
        this->SendNaively(at, request, tries + 1);
      }
    });
  }

  void ForwardToOwner(int at, const SimulatedRequest& request) {
    std::vector<int> members;
    for (const Node& node : this->nodes) {
      if (this->CanReach(at, node.index)) {
        members.push_back(node.index);
      }
    }
    const int owner = members[std::hash<std::string>{}(request.key) % members.size()];
    this->Transmit(at, owner, [this, at, owner, request] {
      if (this->nodes[owner].process->owned_keys.insert(request.key).second) {
        this->audit.RecordRun(request.action, request.key);
      }
      this->Respond(owner, at, request.action,
                    {.key = request.key,
                     .error = {},
                     .body = std::to_string(request.action),
                     .next_key = {}});
    });
  }

  const ExecutionSimulationPlan plan;
  std::array<Node, kNodes> nodes;
  std::vector<Caller> callers;
  ActionAudit audit{kAttempts};
};

}  // namespace masticpin
