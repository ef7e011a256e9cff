#include "net/execution_job.h"

#include <utility>

#include "net/executor.h"

namespace masticpin {

ExecutionJob::ExecutionJob(Executor& executor, InstanceId home, wire::ExecuteRequest request)
    : executor(executor), home(std::move(home)), request(std::move(request)) {}

void ExecutionJob::OnAdmitted() {
  this->executor.OnAdmitted(*this);
}

void ExecutionJob::OnRefused(ErrorKind kind, Duration retry_after) {
  this->executor.OnRefused(*this, kind, retry_after);
}

void ExecutionJob::Run() {
  this->executor.RunOnUpstream(Ref<ExecutionJob>(this));
}

}  // namespace masticpin
