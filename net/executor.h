#pragma once

#include <optional>
#include <unordered_map>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/base/clock.h"
#include "masticpin/execution/execution_table.h"
#include "masticpin/execution/inner_call_table.h"
#include "masticpin/manifest/manifest.h"
#include "net/execution_job.h"
#include "net/instance_router.h"
#include "net/node_core.h"
#include "net/node_metrics.h"
#include "net/reply_sender.h"
#include "net/tracer.h"
#include "net/upstream_client.h"
#include "net/worker_pool.h"

namespace masticpin {

/// Runs the executions that home nodes send to this instance: accepts each key once, requests
/// admission, calls the upstream on a worker thread and replies. All public functions must be
/// called within a NodeCore::CriticalSection.
class Executor {
 public:
  /// All references must outlive the executor.
  Executor(NodeCore& core,
           const Clock& clock,
           ExecutionTable& table,
           AdmissionController& admission,
           InnerCallTable& inner_calls,
           UpstreamClient& upstream,
           WorkerPool& workers,
           InstanceRouter& router,
           ReplySender& replies,
           NodeMetrics& metrics,
           Tracer& tracer);

  /// Sets the current manifest. Executions are refused until a manifest is set.
  void SetManifest(Ref<const Manifest> manifest) { this->manifest = std::move(manifest); }

  /// Handles one execution request from `home`: runs it, refuses it, or resends the stored reply.
  void Execute(const InstanceId& home, const wire::ExecuteRequest& request);

  /// Cancels an execution for which its home no longer waits.
  void Cancel(const wire::ExecutionKey& key);

  /// Refuses queued and new executions; executions in progress run to completion.
  void Drain() { this->admission.Drain(); }

  /// Number of executions without a reply.
  std::size_t InProgress() const { return this->jobs.size(); }

 private:
  friend class ExecutionJob;

  struct JobId {
    std::uint64_t home_incarnation;
    std::uint64_t sequence;
    bool operator==(const JobId&) const = default;
  };
  struct JobIdHash {
    // The sequence is unique within one home process, and the incarnation is already random.
    std::size_t operator()(const JobId& id) const { return id.home_incarnation ^ id.sequence; }
  };

  static JobId IdOf(const wire::ExecutionKey& key) {
    return {key.home_incarnation(), key.sequence()};
  }

  /// Returns why the request cannot run, if that is known before admission.
  std::optional<ErrorKind> Check(const KindSpec* kind, const wire::ExecuteRequest& request) const;
  bool InnerCallsAdmitted(const KindSpec& kind, Priority priority);
  void OnAdmitted(ExecutionJob& job);
  void OnRefused(ExecutionJob& job, ErrorKind kind, Duration retry_after);
  /// Runs on a worker thread, outside of any critical section.
  void RunOnUpstream(const Ref<ExecutionJob>& job);
  /// Enters a critical section itself; called by RunOnUpstream().
  Ref<ExecutionContext> OpenContext(ExecutionJob& job);
  /// Called by RunOnUpstream(), outside of any critical section.
  wire::HttpRequest MakeUpstreamRequest(const ExecutionJob& job, const ExecutionContext& context);
  void EndRun(ExecutionJob& job,
              ExecutionContext& context,
              Duration service_time,
              wire::ExecuteReply reply);
  void Finish(ExecutionJob& job, wire::ExecuteReply reply);
  void FinishWithError(ExecutionJob& job, ErrorKind kind, Duration retry_after);
  void Refuse(const InstanceId& home, const wire::ExecutionKey& key, ErrorKind kind);

  NodeCore& core;
  const Clock& clock;
  ExecutionTable& table;
  AdmissionController& admission;
  InnerCallTable& inner_calls;
  UpstreamClient& upstream;
  WorkerPool& workers;
  InstanceRouter& router;
  ReplySender& replies;
  NodeMetrics& metrics;
  Tracer& tracer;
  Ref<const Manifest> manifest;
  std::unordered_map<JobId, Ref<ExecutionJob>, JobIdHash> jobs;
};

}  // namespace masticpin
