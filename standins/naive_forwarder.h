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

/// Settings of a naive forwarder, named as in the settings of a node.
struct NaiveSettings {
  std::string name;
  std::string service;
  std::string http_address;
  std::string upstream_address;
  std::string platform_address;
};

/// Baseline for comparison: a typical proxy that a deployment without masticpin runs next to each
/// upstream. It forwards requests for the local service to the local upstream and all others to a
/// random instance, and retries after every failure, whether or not the request may have run.
class NaiveForwarder {
 public:
  /// `random` must be thread-safe and outlive the object.
  NaiveForwarder(NaiveSettings settings, RandomSource& random);
  NaiveForwarder(const NaiveForwarder&) = delete;
  NaiveForwarder& operator=(const NaiveForwarder&) = delete;
  ~NaiveForwarder();

  HttpServer& Http() { return this->http; }

  /// Starts a thread that reads the platform's instance list once a second.
  void StartRefresh();

  /// Replaces the known instances by the live ones of `json`, the platform's instance list.
  void SetInstances(const std::string& json);

 private:
  struct Instance {
    std::string service;
    std::string http;
  };

  void Handle(const httplib::Request& request, httplib::Response& response);
  /// Returns the address for the next try; empty if the service has no live instance.
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
