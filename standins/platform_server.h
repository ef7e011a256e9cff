#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

#include "net/http_server.h"
#include "standins/config_store.h"
#include "standins/instance_list.h"

namespace masticpin::standins {

/// HTTP interface of the platform: `/v1/documents/<name>` and `/v1/instances` for nodes,
/// `/_platform/control` and `/_platform/status` for tests.
class PlatformServer {
 public:
  /// The references must outlive the object.
  PlatformServer(ConfigStore& store, InstanceList& instances);

  HttpServer& Http() { return this->http; }

  /// Ends all waiting document requests. Call it before stopping the HTTP server, because the
  /// server waits for them.
  void EndWatches();

 private:
  void HandleDocument(const httplib::Request& request, httplib::Response& response);
  void HandleInstances(httplib::Response& response);
  void HandleStatus(httplib::Response& response);
  void HandleControl(const httplib::Request& request, httplib::Response& response);
  /// Long poll: waits until the document's version differs from `after`, the document cannot be
  /// read, the reader disconnects, EndWatches() is called or `time` has elapsed.
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
