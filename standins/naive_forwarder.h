#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "masticpin/base/random_source.h"
#include "net/http_server.h"
#include "standins/client_pool.h"

namespace masticpin::standins {

/// Settings of a naive forwarder; the names are those of a node's settings.
struct NaiveSettings {
  std::string name;
  std::string service;
  std::string http_address;
  std::string upstream_address;
  std::string platform_address;
};

/// What a deployment without masticpin has beside each upstream: it forwards a request of its own
/// service to its upstream and any other to a random instance, and repeats it after every failure.
class NaiveForwarder {
 public:
  /// `random` must be thread-safe and outlive the object.
  NaiveForwarder(NaiveSettings settings, RandomSource& random);
  NaiveForwarder(const NaiveForwarder&) = delete;
  NaiveForwarder& operator=(const NaiveForwarder&) = delete;
  ~NaiveForwarder();

  HttpServer& Http() { return this->http; }

  /// Starts to read the platform's list once a second.
  void StartRefresh();

  /// Replaces the list of instances by the platform's JSON.
  void SetInstances(const std::string& json);

 private:
  struct Instance {
    std::string service;
    std::string http;
  };

  void Handle(const httplib::Request& request, httplib::Response& response);
  /// Returns the address to try next, empty if the service has no instance.
  std::string ChooseAddress(const std::string& service);
  void Refresh();

  const NaiveSettings settings;
  RandomSource& random;
  HttpServer http;
  ClientPool clients;
  std::mutex mutex;
  std::vector<Instance> instances;
  std::atomic<bool> stopping = false;
  std::thread refresh_thread;
};

}  // namespace masticpin::standins
