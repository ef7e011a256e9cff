#pragma once

#include <mutex>
#include <nlohmann/json.hpp>

#include "masticpin/base/random_source.h"
#include "net/http_server.h"
#include "standins/response_fault.h"
#include "standins/upstream.h"

namespace masticpin::standins {

/// HTTP interface of an upstream: `/<service>/<kind>[/...]` for requests, and under `/_upstream/`
/// `load`, `runs`, `actions` and `control`.
class UpstreamServer {
 public:
  /// The references must outlive the object.
  UpstreamServer(Upstream& upstream, RandomSource& random);

  HttpServer& Http() { return this->http; }

 private:
  void HandleRequest(const httplib::Request& request, httplib::Response& response);
  void HandleLoad(httplib::Response& response);
  void HandleRuns(const httplib::Request& request, httplib::Response& response);
  void HandleActions(httplib::Response& response);
  void HandleControl(const httplib::Request& request, httplib::Response& response);
  /// Draws the fault for the next response from the configured probability.
  ResponseFault DrawFault();

  Upstream& upstream;
  RandomSource& random;
  HttpServer http;
  std::mutex fault_mutex;
  ResponseFault fault;
};

}  // namespace masticpin::standins
