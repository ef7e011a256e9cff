#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "masticpin/testing/seeded_random.h"
#include "net/system_clock.h"
#include "sidecar/loop_timer_service.h"
#include "sidecar/sidecar_node.h"
#include "sidecar/testing/fake_deployment.h"
#include "sidecar/testing/scripted_server.h"

namespace masticpin {

/// Some nodes with their scripted upstreams on one event loop, each with an IP address of its own
/// on the loopback interface.
class TestFleet {
 public:
  struct Machine {
    std::string service;
    std::string zone;
    std::string instance;
    std::unique_ptr<ScriptedServer> upstream;
    std::unique_ptr<FakeDeployment> deployment;
    SidecarSettings settings;
    std::unique_ptr<SidecarNode> node;
    UpstreamInstance entry;
  };

  TestFleet();
  ~TestFleet();

  /// Adds a machine, which is listed as ready, and returns its number.
  std::size_t AddMachine(const std::string& service,
                         ScriptedServer::Handler handler,
                         const std::string& zone = "a");

  /// Adds a route with the path prefix "/<name>/" of the host "test.example".
  Route& AddRoute(const std::string& name, const std::string& service, bool idempotent);

  /// Starts all nodes and gives them the configuration and the list.
  void Start();

  /// Publishes the present routes and entries again.
  void PublishConfiguration();
  void PublishInstances();

  /// Ends the process of a node: its sockets close.
  void Kill(std::size_t machine);

  /// Starts a node, which knows nothing of the deployment yet.
  void StartNode(std::size_t machine);

  /// Runs the event loop until `done` or for `limit`. Returns whether `done` holds.
  bool RunUntil(const std::function<bool()>& done, Duration limit = std::chrono::seconds(5));
  void RunFor(Duration time);

  Machine& At(std::size_t machine) { return *this->machines[machine]; }
  const SocketAddress& RequestAddress(std::size_t machine) {
    return this->At(machine).settings.request_address;
  }
  boost::asio::io_context& Loop() { return this->loop; }

  /// A request with an id, for the route `route`.
  static std::string MakeRequest(const std::string& id,
                                 const std::string& route,
                                 const std::string& method = "GET",
                                 const std::string& fields = "",
                                 const std::string& body = "");

  /// A whole answer of a server to `request`.
  static std::string MakeResponse(const std::string& request,
                                  const std::string& body = "done",
                                  const std::string& fields = "",
                                  const std::string& status = "200 OK");

 private:
  boost::asio::io_context loop;
  SystemClock clock;
  SeededRandom random{11};
  LoopTimerService timers;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<Route> routes;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
};

}  // namespace masticpin
