#pragma once

#include <memory>
#include <string>
#include <vector>

#include "review/standins/node.h"
#include "review/standins/record.h"
#include "review/standins/server.h"
#include "review/standins/store.h"

namespace review {

/// One route of a configuration.
struct RouteSpec {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 6000;
};

struct LimitsSpec {
  std::size_t max_body_bytes = std::size_t{64} << 20;
  int idle_timeout_ms = 15000;
};

/// Name of the host in all routes.
inline constexpr const char* kHost = "case.example";

std::string MakeConfiguration(int version,
                              const std::vector<RouteSpec>& routes,
                              const std::vector<std::string>& services,
                              const LimitsSpec& limits = {});

/// A machine: a server and the node beside it.
struct Machine {
  std::unique_ptr<Server> server;
  std::unique_ptr<Node> node;
};

/// A small deployment on loopback addresses: a store and some machines. All files of its processes
/// are in a temporary folder, which the destructor removes.
class Deployment {
 public:
  /// `site` holds what all machines have in common.
  Deployment(Record& record, NodeSettings site);
  ~Deployment();

  /// Adds a machine with a server of `service`, which is registered as ready.
  /// `store_address` is where its node reads the store; nullptr for the usual address.
  Machine& Add(const std::string& service,
               const std::string& zone,
               const Address* store_address = nullptr);

  /// A second address for the store.
  Address SecondStoreAddress() const;

  /// Address of the server of machine `index`.
  std::string AppAddress(std::size_t index) const;

  /// Starts all nodes and waits until they are ready.
  bool StartNodes();

  Store store;
  std::vector<std::unique_ptr<Machine>> machines;

 private:
  Record& record;
  NodeSettings site;
  std::string folder;
  std::string network;
};

/// Text of a request of a client.
std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int deadline_ms,
                        std::size_t body_bytes = 0);

}  // namespace review
