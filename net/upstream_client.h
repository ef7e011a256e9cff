#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/error/result.h"
#include "masticpin/wire/http_message.pb.h"
#include "net/upstream_call.h"
#include "net/upstream_client_settings.h"

namespace masticpin {

/// Sends requests to the upstream over keep-alive connections, one request at a time on each.
/// Thread-safe.
class UpstreamClient {
 public:
  UpstreamClient(const UpstreamClientSettings& settings, const Clock& clock);

  /// Sets the HTTP status, if any, by which the upstream reports that it has done no work.
  void SetShedStatus(std::optional<int> status) { this->shed_status = status.value_or(0); }

  /// Sends `request` and waits for the complete response until `deadline`. Errors:
  /// kUpstreamUnreachable, kUpstreamShed, kExpiredBeforeStart and kCancelledBeforeStart if the
  /// request certainly did not run; kUpstreamBroken, kDeadlineExceeded and kCancelled if it may
  /// have run. A connection without a complete response is not reused, so that a late response
  /// cannot be taken for that of another request.
  Result<wire::HttpResponse> Send(const wire::HttpRequest& request,
                                  bool idempotent,
                                  TimePoint deadline,
                                  UpstreamCall& call);

 private:
  struct Connection {
    std::unique_ptr<httplib::Client> client;
    TimePoint last_used;
  };

  Connection TakeConnection(bool idempotent);
  void ReturnConnection(Connection connection);
  Result<wire::HttpResponse> Convert(const httplib::Response& response) const;

  const UpstreamClientSettings settings;
  const Clock& clock;
  /// 0 if the upstream has no such status.
  std::atomic<int> shed_status = 0;
  std::mutex mutex;
  std::vector<Connection> idle;
};

}  // namespace masticpin
