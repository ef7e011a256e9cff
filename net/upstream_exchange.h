#pragma once

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"
#include "masticpin/error/error_kind.h"
#include "sidecar/http_call_observer.h"
#include "sidecar/http_client.h"

namespace masticpin {

/// One call that a thread waits for while the event loop of the client performs it.
class UpstreamExchange : public RefCounted<UpstreamExchange>, private HttpCallObserver {
 public:
  /// `loop` and `client` must outlive all exchanges; `client` is used on the loop only.
  UpstreamExchange(boost::asio::io_context& loop, HttpClient& client, HttpCall call);
  ~UpstreamExchange() override;

  /// Sends the call and waits for its end until `deadline`; then aborts it.
  void Run(TimePoint deadline);

  /// Ends the exchange with `kind` unless it has ended, and closes its connection. Thread-safe.
  void Abort(ErrorKind kind);

  /// The result, valid after Run(): the response, or an error if it is std::nullopt.
  std::optional<HttpResponse>& Response() { return this->response; }
  ErrorKind Error() const { return this->error; }
  const std::string& ErrorReason() const { return this->error_reason; }

 private:
  void OnResponse(HttpResponse new_response) override;
  void OnCallFailed(ErrorKind kind, std::string_view reason) override;
  /// Wakes the waiting thread and releases the connection and the reference of the call.
  void OnCallEnded();
  /// Starts the call, on the loop.
  void Start();
  /// Closes the connection of an aborted call, on the loop.
  void CloseConnection();

  boost::asio::io_context& loop;
  HttpClient& client;
  HttpCall call;
  /// Used on the loop only.
  Ref<HttpClientConnection> connection;

  std::mutex mutex;
  std::condition_variable ended_condition;
  bool ended = false;
  std::optional<HttpResponse> response;
  ErrorKind error = ErrorKind::kInternal;
  std::string error_reason;
};

}  // namespace masticpin
