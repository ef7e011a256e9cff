// Case 1: requests that a stopping node has passed on are cut off when it exits.
//
// Clients hold connections to a node that they used before its SIGTERM, and send one more request
// on each of them, spread over the stop time. The zone has no other node, so by the pages they go
// on although the node is not ready.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/deployment.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Site kano: `export-permit` works 580 ms at most and has a time limit of 6,000 ms.
constexpr const char* kTarget = "/permit/w550";
constexpr int kDeadlineMs = 6000;
constexpr long kSendInterval = 200;
constexpr int kClients = 30;
/// The rule excuses requests that were sent earlier than this after the SIGTERM.
constexpr long kExcusedMs = 3000;

struct Outcome {
  std::string id;
  long sent_at = 0;
  long ended_at = 0;
  /// -1: the connection ended first, -2: no answer in time, -3: not sent.
  int status = 0;
};

/// Sends one request on a connection that was used before, and waits for its answer.
Outcome SendLate(Record& record, HttpConnection& connection, const std::string& id) {
  Outcome outcome{id, record.Now(), 0, 0};
  record.Line("client sends " + id);
  if (!connection.Write(MakeRequest("POST", kTarget, id, kDeadlineMs, 300))) {
    outcome.status = -3;
  } else {
    HttpMessage answer;
    switch (connection.Read(answer, Milliseconds(kDeadlineMs))) {
      case ReadResult::kMessage:
        outcome.status = answer.Status();
        break;
      case ReadResult::kTimeout:
        outcome.status = -2;
        break;
      case ReadResult::kClosed:
      case ReadResult::kCutShort:
        outcome.status = -1;
        break;
    }
  }
  outcome.ended_at = record.Now();
  record.Line("client has " + std::to_string(outcome.status) + " for " + id +
              (outcome.status == -1 ? " (the connection ended without an answer)" : ""));
  return outcome;
}

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  NodeSettings site;
  site.grace_s = 6;
  Deployment deployment(record, site);
  deployment.store.Put("op/config", MakeConfiguration(7,
                                                      {{"/lookup/", "idempotent", "registry"},
                                                       {"/permit/", "non_idempotent", "permits"}},
                                                      {"registry", "permits"}));
  Node& stopping = *deployment.Add("registry", "kano-a").node;
  std::vector<Server*> permits;
  permits.push_back(deployment.Add("permits", "kano-b").server.get());
  permits.push_back(deployment.Add("permits", "kano-b").server.get());
  if (!deployment.StartNodes()) {
    record.Line("the nodes did not become ready");
    return kNotRun;
  }

  // Nothing happens to the machines for longer than touchMs.
  std::this_thread::sleep_for(Milliseconds(3500));
  // Every client uses its connection once.
  std::vector<std::unique_ptr<HttpConnection>> connections;
  for (int i = 0; i < kClients; ++i) {
    connections.push_back(HttpConnection::Connect(stopping.Outbound(), Milliseconds(1000)));
    HttpMessage answer;
    if (connections.back() == nullptr ||
        !connections.back()->Write(
            MakeRequest("POST", "/permit/w5", "first-" + std::to_string(i), kDeadlineMs, 300)) ||
        connections.back()->Read(answer, Milliseconds(2000)) != ReadResult::kMessage ||
        answer.Status() != 200) {
      record.Line("a first request was not served");
      return kNotRun;
    }
  }

  const long stopped_at = record.Now();
  if (trouble) {
    stopping.Signal(SIGTERM);
  }
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::this_thread::sleep_for(Milliseconds(100 + kSendInterval * i));
      const Outcome outcome = SendLate(record, *connections[i], "late-" + std::to_string(i));
      const std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
  }
  // The platform's question, once a second.
  for (int second = 0; second < 7; ++second) {
    record.Line(std::string("node is ") + (stopping.IsReady() ? "ready" : "not ready"));
    stopping.TakeExit();
    std::this_thread::sleep_for(Milliseconds(1000));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  stopping.TakeExit();

  std::map<std::string, Server::Run> runs;
  for (Server* server : permits) {
    runs.merge(server->Runs());
  }
  int broken = 0;
  int unread = 0;
  for (const Outcome& outcome : outcomes) {
    const auto run = runs.find(outcome.id);
    if (outcome.status >= 0) {
      continue;
    }
    if (run == runs.end()) {
      ++unread;
      continue;
    }
    const long after = outcome.sent_at - stopped_at;
    const bool counted = after > kExcusedMs && outcome.ended_at - outcome.sent_at < kDeadlineMs;
    record.Line("LOST: " + outcome.id + " was sent " + std::to_string(after) +
                " ms after the SIGTERM, began at its server " +
                std::to_string(run->second.began_at - outcome.sent_at) +
                " ms later, and has no answer; its connection ended after " +
                std::to_string(outcome.ended_at - outcome.sent_at) + " ms" +
                (counted ? "" : " (excused)"));
    broken += counted ? 1 : 0;
  }
  record.Line("result: " + std::to_string(broken) + " requests lost, " + std::to_string(unread) +
              " on connections that the node had closed before it read them, of " +
              std::to_string(outcomes.size()));
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return review::RunCase(argc > 1 ? argv[1] : ".",
                           trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return review::kNotRun;
  }
}
