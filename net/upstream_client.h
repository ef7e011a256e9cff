#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <thread>

#include "masticpin/base/clock.h"
#include "masticpin/error/result.h"
#include "masticpin/wire/http_message.pb.h"
#include "net/upstream_call.h"
#include "net/upstream_client_settings.h"
#include "sidecar/http_client.h"
#include "sidecar/loop_timer_service.h"

namespace masticpin {

/// Sends requests to the upstream over keep-alive connections, one request at a time on each. An
/// event loop on a thread of its own performs the calls, within bounds on what the upstream may
/// send. Thread-safe.
class UpstreamClient {
 public:
  UpstreamClient(const UpstreamClientSettings& settings, const Clock& clock);
  ~UpstreamClient();

  /// Sets the HTTP status, if any, by which the upstream reports that it has done no work.
  void SetShedStatus(std::optional<int> status) { this->shed_status = status.value_or(0); }

  /// Sends `request` and waits for the complete response until `deadline`. Errors:
  /// kUpstreamUnreachable, kUpstreamShed, kExpiredBeforeStart and kCancelledBeforeStart if the
  /// request certainly did not run; kUpstreamBroken, kDeadlineExceeded and kCancelled if it may
  /// have run. A connection without a complete response is not reused, so that a late response
  /// cannot be taken for that of another request; nor is one whose response did not repeat the
  /// request's context.
  Result<wire::HttpResponse> Send(const wire::HttpRequest& request,
                                  bool idempotent,
                                  TimePoint deadline,
                                  UpstreamCall& call);

 private:
  HttpCall MakeCall(const wire::HttpRequest& request, bool idempotent) const;
  Result<wire::HttpResponse> Convert(HttpResponse& response) const;

  const UpstreamClientSettings settings;
  const Clock& clock;
  /// 0 if the upstream has no such status.
  std::atomic<int> shed_status = 0;

  boost::asio::io_context loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  LoopTimerService timers;
  HttpClient client;
  std::thread thread;
};

}  // namespace masticpin
