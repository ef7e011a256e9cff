#pragma once

#include <string>

#include "masticpin/admission/admission_request.h"
#include "masticpin/admission/completion.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/base/timer_subscriber.h"
#include "masticpin/execution/running_request.h"
#include "sidecar/execution_observer.h"
#include "sidecar/http_call_observer.h"
#include "sidecar/http_client_connection.h"

namespace masticpin {

class LocalExecutor;

/// One request at the local instance, from its arrival at the node until the reply.
class LocalExecution : public RefCounted<LocalExecution>,
                       public AdmissionRequest,
                       private HttpCallObserver,
                       private TimerSubscriber {
 public:
  LocalExecution(LocalExecutor& executor,
                 wire::ExecutionRequest new_request,
                 Ref<const MessageBody> body,
                 ExecutionObserver& observer);
  ~LocalExecution() override;

  std::uint64_t Call() const { return this->request.call(); }

  /// Whether the request has left the queue.
  bool IsRunning() const { return this->is_running; }

  /// Submits the request for admission.
  void Start();

  /// Ends the execution without a callback. A non-idempotent request that was delivered to the
  /// instance runs on without an observer.
  void Cancel();

  /// Ends the execution without a callback, even a non-idempotent run. Used when the process exits.
  void Abandon();

  /// Ends the execution with kDraining if the request was admitted but not sent yet.
  void RefuseIfUnsent();

  /// Logs that the exit of the process cuts off the execution.
  void LogCut() const;

  /// Ends the execution with an error; the request was not run.
  void OnRefused(ErrorKind kind, Duration retry_after) override;

 private:
  void OnAdmitted() override;
  void OnSend() override;
  void OnResponse(HttpResponse response) override;
  void OnCallFailed(ErrorKind kind, std::string_view reason) override;
  void OnTimer(TimePoint now) override;

  std::string BuildHead() const;
  /// Records the time that the instance itself worked for the request, which has just ended with a
  /// success.
  void RecordWorkTime();
  /// Records the end of the run with the admission controller and the table of running requests.
  void EndRun(Completion completion);
  void ReplyError(ErrorKind kind, bool reached_instance, Duration retry_after);
  /// Sends the reply and removes the execution.
  void Finish(wire::ExecutionReply& reply);

  LocalExecutor& executor;
  const wire::ExecutionRequest request;
  /// Released once the instance has it and nobody can have it sent again.
  Ref<const MessageBody> body;
  ExecutionObserver* observer;
  RunningRequest running;
  Ref<HttpClientConnection> connection;
  const TimePoint arrived_at;
  TimePoint started_at{};
  bool is_running = false;
  /// Whether the instance already responded with 421 and the request was submitted again.
  bool misdirected = false;
  bool ended = false;
};

}  // namespace masticpin
