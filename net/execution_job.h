#pragma once

#include <cstdint>
#include <string>

#include "masticpin/admission/admission_request.h"
#include "masticpin/base/instance_id.h"
#include "masticpin/base/ref_counted.h"
#include "masticpin/execution/execution.pb.h"
#include "masticpin/trace/span.h"
#include "net/upstream_call.h"
#include "net/work_item.h"

namespace masticpin {

class Executor;

/// One execution, from its acceptance to its reply.
class ExecutionJob : public RefCounted<ExecutionJob>, public AdmissionRequest, public WorkItem {
 public:
  ExecutionJob(Executor& executor, InstanceId home, wire::ExecuteRequest request);

  // AdmissionRequest:
  void OnAdmitted() override;
  void OnRefused(ErrorKind kind, Duration retry_after) override;

  // WorkItem:
  void Run() override;

 private:
  friend class Executor;

  Executor& executor;
  const InstanceId home;
  wire::ExecuteRequest request;
  bool idempotent = false;
  TimePoint arrived{};
  Span span;
  UpstreamCall call;
};

}  // namespace masticpin
