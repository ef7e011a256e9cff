#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/soak/node_process.h"
#include "sidecar/testing/raw_caller.h"
#include "sidecar/testing/scripted_server.h"

namespace masticpin::review {

using Milliseconds = std::chrono::milliseconds;

/// Stand-in of the platform's store: reads of one item, ranges and watches. Stale reads return the
/// state of some time ago.
class Store {
 public:
  explicit Store(boost::asio::io_context& loop);

  /// Opens an address of the store for the machine whose requests shall be told apart.
  SocketAddress AddEntrance(const std::string& machine, const std::string& ip);

  /// Turns the machine away: answers its calls with `status`. 0 ends that.
  void TurnAway(const std::string& machine, int status);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// Age of what stale reads return.
  void SetStaleness(Milliseconds age) { this->staleness = age; }

  /// Loses the answer to the next watch of `key` that reports a change. The connection on which it
  /// is lost returns nothing further.
  void LoseNextWatchAnswer(const std::string& key) { this->lost_key = key; }

  /// Number of answers that were lost.
  int LostAnswers() const { return this->lost_answers; }

 private:
  using Connection = ScriptedServer::Connection;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  using Items = std::map<std::string, Item>;

  struct Change {
    std::string key;
    std::uint64_t revision;
    bool removed;
  };
  struct Watch {
    std::shared_ptr<Connection> connection;
    std::string machine;
    std::string prefix;
    std::uint64_t after;
    std::uint64_t number;
  };
  struct Snapshot {
    std::chrono::steady_clock::time_point at;
    Items items;
    std::uint64_t revision;
  };

  static std::string ItemJson(const std::string& key, const Item& item);
  static void Respond(Connection& connection, int status, const std::string& body);
  void OnRequest(const std::string& machine, Connection& connection, const std::string& request);
  void OnRange(Connection& connection, const std::string& request);
  void OnWatch(const std::string& machine, Connection& connection, const std::string& request);
  /// Answers the watch if there are changes. Returns false if it goes on waiting.
  bool AnswerWatch(const Watch& watch);
  void OnChange();
  const Snapshot& StaleSnapshot() const;

  boost::asio::io_context& loop;
  Items items;
  std::uint64_t revision = 100;
  std::vector<Change> history;
  std::deque<Snapshot> snapshots;
  std::vector<Watch> watches;
  std::uint64_t next_watch = 1;
  Milliseconds staleness{0};
  std::string lost_key;
  int lost_answers = 0;
  /// Connections on which an answer was lost.
  std::set<Connection*> dead_connections;
  /// Status with which machines are turned away.
  std::map<std::string, int> turned_away;
  std::vector<std::unique_ptr<ScriptedServer>> entrances;
};

/// One request that arrived at a server.
struct ServerRun {
  std::string id;
  std::string target;
  std::string server;
  std::string service;
  std::chrono::steady_clock::time_point at;
};

/// A machine: a node of the deployment, and a stand-in of the application server beside it.
struct Machine {
  std::string name;
  std::string service;
  std::string zone;
  std::string ip;
  std::string instance;
  bool leaving = false;
  std::unique_ptr<ScriptedServer> server;
  std::unique_ptr<NodeProcess> node;
};

/// One request of a client.
struct ClientRequest {
  std::string id;
  std::string machine;
  std::chrono::steady_clock::time_point sent_at;
  std::shared_ptr<RawCaller> caller;
  /// Number of requests before it on its connection.
  int position = 0;
  /// Status of the answer; 0 if there is none yet, -1 if the connection ended without one.
  int status = 0;
};

struct DeploymentSettings {
  /// Bounds of the site that the settings of the nodes contain.
  int grace_seconds = 6;
  int drain_ms = 2500;
  /// Budget of retries.
  int budget_slack = 96;
  int memory_mb = 160;
  /// Whether the site has allotments, and their tolerance.
  bool quotas = false;
  Milliseconds work{20};
};

/// A small deployment on loopback addresses: the store, machines with their nodes and servers, and
/// clients. Everything but the nodes runs on one event loop. The nodes are started as the deploy
/// file says, with settings that the template of the deploy file produces.
class Deployment {
 public:
  Deployment(std::string directory, DeploymentSettings settings);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  boost::asio::io_context& Loop() { return this->loop; }
  Store& Registry() { return *this->store; }
  std::vector<std::unique_ptr<Machine>>& Machines() { return this->machines; }
  const std::vector<ServerRun>& Runs() const { return this->runs; }
  const std::deque<ClientRequest>& Requests() const { return this->requests; }

  Machine& AddMachine(const std::string& service, const std::string& zone);

  /// Writes the entry of the machine's server with its present state.
  void WriteEntry(const Machine& machine, int cold_ms = 0);

  /// Starts a server at the address of the machine, with its present service and instance.
  void StartServer(Machine& machine);

  /// Ends the server of the machine: its connections break, and what it worked on is gone.
  static void EndServer(Machine& machine);

  /// Runs the event loop for `time`.
  void RunFor(Milliseconds time);

  /// Runs the event loop until all nodes answer their readiness checks with 200. Returns false if
  /// they do not within `time`.
  bool RunUntilReady(Milliseconds time);
  bool IsReady(const Machine& machine);

  /// Sends a request through the node of `machine`, on a connection of its own. `head_lines` are
  /// further lines of the head.
  void SendRequest(const Machine& machine,
                   const std::string& method,
                   const std::string& target,
                   Milliseconds deadline,
                   const std::string& head_lines = "");

  /// Sends GET requests for the targets at once, on one connection. Returns their ids.
  std::vector<std::string> SendPipelined(const Machine& machine,
                                         const std::vector<std::string>& targets,
                                         Milliseconds deadline);

  /// The last run of the request; nullptr if it did not run.
  const ServerRun* FindRun(const std::string& id) const;
  const ClientRequest& FindRequest(const std::string& id) const;

  /// Value of a metric of the node; -1 if it is not to be had.
  double Metric(const Machine& machine, const std::string& name);

  /// Appends a line to the record of the run.
  void Record(const std::string& line);

  /// Writes all requests, answers and runs to the record.
  void RecordTraffic();

  /// Milliseconds since the start.
  std::int64_t MillisecondsOf(std::chrono::steady_clock::time_point time) const;

  /// Time for which servers work on a request for a target; the one of the settings by default.
  std::function<Milliseconds(const std::string& target)> work_of;

 private:
  void OnServerRequest(Machine& machine,
                       ScriptedServer::Connection& connection,
                       const std::string& request);
  void PollRequests();
  /// Sends one request to a listener of a node, and returns the whole answer.
  std::string Fetch(const Machine& machine, std::uint16_t port, const std::string& target);
  bool ChoosePorts();

  const std::string directory;
  const DeploymentSettings settings;
  const std::chrono::steady_clock::time_point start;
  std::string network;
  std::uint16_t first_port = 0;
  std::ofstream record;
  boost::asio::io_context loop;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<ScriptedServer>> former_servers;
  std::vector<ServerRun> runs;
  std::deque<ClientRequest> requests;
  std::uint64_t next_id = 1;
};

/// Whether the run brings about its disruption; TROUBLE=0 switches it off.
bool WithTrouble();

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// Runs a case in the directory that the first argument names. An exception means that it could not
/// run; the nodes are ended all the same.
int RunCase(int argc, char** argv, int (*run)(const std::string& directory));

}  // namespace masticpin::review
