#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"
#include "net/node.h"

namespace masticpin {

/// An HTTP server on a free loopback port, with its own thread.
class TestServer {
 public:
  using Handler = std::function<void(const httplib::Request&, httplib::Response&)>;

  explicit TestServer(const Handler& handler);
  ~TestServer();

  int Port() const { return this->port; }

 private:
  HttpServer server;
  int port = 0;
  std::thread thread;
};

/// Response of a node to a request of a test.
struct TestResponse {
  int status = 0;
  std::string outcome;
  std::string error;
  std::string key;
  std::string body;
};

/// A small deployment in one process: real nodes with a fake platform and fake upstreams.
class TestSite {
 public:
  using Upstream = std::function<void(const httplib::Request&, httplib::Response&)>;

  /// `upstream` handles the requests of all instances; the X-Instance header names the instance.
  TestSite(std::string manifest, Upstream upstream);
  ~TestSite();

  /// Adds one instance with its upstream; call before Start().
  void Add(const std::string& name, const std::string& service);
  /// Starts all nodes and waits until each node knows the others.
  void Start();
  /// Replaces the node of an instance by a new one, as after a crash.
  void Restart(const std::string& name);
  /// Shuts down the node of an instance gracefully; returns when it has ended.
  void Drain(const std::string& name);

  /// Publishes another version of the manifest.
  void Publish(std::uint64_t version, std::string manifest);

  TestResponse Send(const std::string& name, const std::string& path, const std::string& key);
  /// Obtains a key by sending a request without one.
  std::string NewKey(const std::string& name, const std::string& path);
  /// A value of the node's status, such as "configuration/version".
  std::string Status(const std::string& name, const std::string& pointer);

  /// IP address of the nodes and the fakes, which no other process uses.
  static const std::string& Address();

  /// HTTP port of a node, for the inner calls of its upstream.
  int HttpPort(const std::string& name) const { return this->instances.at(name)->http_port; }

  /// Waits until `predicate` returns true. Returns false only after a time that no successful run
  /// needs.
  static bool WaitUntil(const std::function<bool()>& predicate);

 private:
  struct Instance {
    std::string name;
    std::string service;
    int http_port = 0;
    int peer_port = 0;
    std::unique_ptr<TestServer> upstream;
    std::unique_ptr<Node> node;
  };

  void StartNode(Instance& instance);
  void HandlePlatform(const httplib::Request& request, httplib::Response& response);

  Upstream upstream;
  std::mutex mutex;
  std::uint64_t version = 1;
  std::string manifest;
  std::map<std::string, std::unique_ptr<Instance>> instances;
  std::unique_ptr<TestServer> platform;
};

}  // namespace masticpin
