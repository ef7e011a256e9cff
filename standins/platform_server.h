#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

#include "net/http_server.h"
#include "standins/config_store.h"
#include "standins/instance_list.h"

namespace masticpin::standins {

/// HTTP side of the platform: `/v1/documents/<name>`, `/v1/instances`, and under `/_platform/`
/// `control` and `status` for tests.
class PlatformServer {
 public:
  /// The references must outlive the object.
  PlatformServer(ConfigStore& store, InstanceList& instances);

  HttpServer& Http() { return this->http; }

  /// Ends all waiting watches; to be called before the HTTP server stops.
  void EndWatches();

 private:
  void HandleDocument(const httplib::Request& request, httplib::Response& response);
  void HandleInstances(httplib::Response& response);
  void HandleStatus(httplib::Response& response);
  void HandleControl(const httplib::Request& request, httplib::Response& response);
  /// Waits until the version differs from `after`, the service is down, or the time is over.
  ConfigStore::ReadResult Watch(const std::string& name, std::uint64_t after, Duration time);

  ConfigStore& store;
  InstanceList& instances;
  HttpServer http;
  std::atomic<std::uint64_t> instance_calls = 0;
  std::mutex watch_mutex;
  std::condition_variable store_changed;
  bool ending = false;
};

}  // namespace masticpin::standins
